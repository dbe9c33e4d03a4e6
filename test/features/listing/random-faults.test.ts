/** The list of targets while entries fail at random. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '../../../src/base/random.js';
import type {EntryClock} from '../../support/entry-clock.js';
import {ListWorld} from '../../support/list-world.js';

const drainMilliseconds = 2000;
/** An entry that wasn't disturbed for so long is held to its promises. */
const contactMilliseconds = 3000;
const stepMilliseconds = 100;
const steps = 250;
const targets = 12;
const calmMilliseconds = 6000;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

type Target = {life: number; seq: number; state: 'ready' | 'draining' | 'gone'; saidAt: number};

/** One run: what targets say, what befalls entries, and what has to hold. */
class DrawnRun {
	readonly world = new ListWorld(Array.from({length: 30}, (_, index) => `${index % 2 === 0 ? 'y' : 'z'}-${index}`));
	readonly #random: Random;
	readonly #targets = new Map<string, Target>();
	readonly #disturbedAt = new Map<string, number>();
	/** What ends each entry's fault. */
	readonly #faults = new Map<string, () => void>();

	constructor(seed: number) {
		this.#random = new Random(seed);
		for (let index = 0; index < targets; index += 1) {
			this.#targets.set(`t-${index}`, {
				life: 1, seq: 0, state: 'ready', saidAt: this.world.clock.now(),
			});
		}
	}

	async play(): Promise<void> {
		this.#beat();
		await this.world.start();
		for (let step = 0; step < steps; step += 1) {
			if (step % 15 === 0) {
				this.#beat();
			}

			this.#change();
			this.#disturb();
			await this.world.pass(stepMilliseconds);
			this.#checkAnnouncements();
		}
	}

	/** Ends all faults, and lets everybody find the same. */
	async calm(): Promise<void> {
		for (const end of this.#faults.values()) {
			end();
		}

		for (let passed = 0; passed < calmMilliseconds; passed += 500) {
			this.#beat();
			await this.world.pass(500);
		}

		for (const [id, {state}] of this.#targets) {
			assert.deepEqual(this.world.otherwise(id, state), [], `${id} is ${state}`);
		}
	}

	#beat(): void {
		for (const [id, target] of this.#targets) {
			if (target.state !== 'gone') {
				this.#say(id, target);
			}
		}
	}

	#say(id: string, target: Target): void {
		target.seq += 1;
		const {life, seq, state} = target;
		this.world.store.put(id, `{"service":"s","addr":"10.0.0.${life}:1","zone":"z","state":"${state}","born":${life},"seq":${seq},"capacity":{"cpu":1,"mem_mb":1,"gpu":0}}`);
	}

	#change(): void {
		if (!this.#draws(0.3)) {
			return;
		}

		const [id, target] = this.#pick([...this.#targets]);
		target.saidAt = this.world.clock.now();
		if (target.state === 'ready' && this.#draws(0.15)) {
			this.world.store.put(id, '{"state":"ready"}');
		} else if (target.state === 'ready') {
			target.state = 'draining';
			this.#say(id, target);
		} else if (target.state === 'draining' && this.#draws(0.5)) {
			target.state = 'gone';
			this.world.store.put(id, undefined);
		} else {
			target.life += 1;
			target.seq = 0;
			target.state = 'ready';
			this.#say(id, target);
		}
	}

	#disturb(): void {
		for (const [name, end] of this.#faults) {
			this.#disturbedAt.set(name, this.world.clock.now());
			if (this.#draws(0.04)) {
				this.#faults.delete(name);
				end();
			}
		}

		if (this.#draws(0.15)) {
			const [name, entry] = this.#pick([...this.world.entries]);
			if (!this.#faults.has(name)) {
				this.#disturbedAt.set(name, this.world.clock.now());
				this.#faults.set(name, this.#pick([() => this.#stop(entry.clock), () => this.#cut(name), () => this.#isolate(name), () => this.#delay(name)])());
			}
		}
	}

	#stop(clock: EntryClock): () => void {
		clock.stop();
		return () => {
			clock.resume({first: 'network', isCounted: this.#draws(0.5), socketOrder: 0});
		};
	}

	#cut(name: string): () => void {
		this.world.store.cut.add(name);
		return () => {
			this.world.store.cut.delete(name);
		};
	}

	#isolate(name: string): () => void {
		this.world.network.isolate(name, true);
		return () => {
			this.world.network.isolate(name, false);
			this.world.network.connect();
		};
	}

	/** What it sends comes late, also after newer messages of others. */
	#delay(name: string): () => void {
		const ways = [...this.world.entries.keys()].map(other => `${name}#1>${other}#1`);
		for (const way of ways) {
			this.world.network.delays.set(way, 100 + (this.#random.fraction() * 4000));
		}

		return () => {
			for (const way of ways) {
				this.world.network.delays.delete(way);
			}
		};
	}

	/** Who wasn't disturbed gives no tasks to a target that has announced its leaving for so long. */
	#checkAnnouncements(): void {
		const now = this.world.clock.now();
		for (const [id, {state, saidAt}] of this.#targets) {
			if (state === 'ready' || now - saidAt < drainMilliseconds) {
				continue;
			}

			const aware = new Set(this.world.otherwise(id, 'ready'));
			const unaware = [...this.world.entries.keys()].filter(name => this.#isInTouch(name) && !aware.has(name));
			assert.deepEqual(unaware, [], `${id} is ${state} for ${now - saidAt} ms`);
		}
	}

	#isInTouch(name: string): boolean {
		return this.world.clock.now() - (this.#disturbedAt.get(name) ?? 0) > contactMilliseconds;
	}

	#draws(share: number): boolean {
		return this.#random.fraction() < share;
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[this.#random.below(items.length)]!;
	}
}

for (const seed of seeds) {
	// Whatever befalls other entries, one that wasn't disturbed itself knows in time which targets leave.
	test(`entries know in time which targets leave while others fail, seed ${seed}`, async () => {
		const run = new DrawnRun(seed);
		try {
			await run.play();
			await run.calm();
		} finally {
			run.world.dispose();
		}
	});
}
