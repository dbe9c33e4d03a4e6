/** Replication of the target list under random faults. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '../../../src/base/random.js';
import type {EntryClock} from '../../support/entry-clock.js';
import {TargetListCluster} from '../../support/target-list-cluster.js';

const drainMilliseconds = 2000;
/** An entry without faults for this time must know about draining targets in time. */
const recoveryMilliseconds = 3000;
const stepMilliseconds = 100;
const steps = 250;
const targets = 12;
const settlingMilliseconds = 6000;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

type Target = {incarnation: number; seq: number; state: 'ready' | 'draining' | 'gone'; changedAt: number};

/** A random sequence of target changes and entry faults, with checks. */
class RandomRun {
	readonly world = new TargetListCluster(Array.from({length: 30}, (_, index) => `${index % 2 === 0 ? 'y' : 'z'}-${index}`));
	readonly #random: Random;
	readonly #targets = new Map<string, Target>();
	readonly #faultyAt = new Map<string, number>();
	/** Functions that end the faults, by entry. */
	readonly #faults = new Map<string, () => void>();

	constructor(seed: number) {
		this.#random = new Random(seed);
		for (let index = 0; index < targets; index += 1) {
			this.#targets.set(`t-${index}`, {
				incarnation: 1, seq: 0, state: 'ready', changedAt: this.world.clock.now(),
			});
		}
	}

	async play(): Promise<void> {
		this.#writeAll();
		await this.world.start();
		for (let step = 0; step < steps; step += 1) {
			if (step % 15 === 0) {
				this.#writeAll();
			}

			this.#change();
			this.#injectFaults();
			await this.world.advance(stepMilliseconds);
			this.#checkAnnouncements();
		}
	}

	/** Ends all faults and checks that all entries converge. */
	async settle(): Promise<void> {
		for (const end of this.#faults.values()) {
			end();
		}

		for (let passed = 0; passed < settlingMilliseconds; passed += 500) {
			this.#writeAll();
			await this.world.advance(500);
		}

		for (const [id, {state}] of this.#targets) {
			assert.deepEqual(this.world.entriesNotInState(id, state), [], `${id} is ${state}`);
		}
	}

	#writeAll(): void {
		for (const [id, target] of this.#targets) {
			if (target.state !== 'gone') {
				this.#write(id, target);
			}
		}
	}

	#write(id: string, target: Target): void {
		target.seq += 1;
		const {incarnation, seq, state} = target;
		this.world.store.put(id, `{"service":"s","addr":"10.0.0.${incarnation}:1","zone":"z","state":"${state}","born":${incarnation},"seq":${seq},"capacity":{"cpu":1,"mem_mb":1,"gpu":0}}`);
	}

	#change(): void {
		if (!this.#happens(0.3)) {
			return;
		}

		const [id, target] = this.#pick([...this.#targets]);
		target.changedAt = this.world.clock.now();
		if (target.state === 'ready' && this.#happens(0.15)) {
			this.world.store.put(id, '{"state":"ready"}');
		} else if (target.state === 'ready') {
			target.state = 'draining';
			this.#write(id, target);
		} else if (target.state === 'draining' && this.#happens(0.5)) {
			target.state = 'gone';
			this.world.store.put(id, undefined);
		} else {
			target.incarnation += 1;
			target.seq = 0;
			target.state = 'ready';
			this.#write(id, target);
		}
	}

	#injectFaults(): void {
		for (const [name, end] of this.#faults) {
			this.#faultyAt.set(name, this.world.clock.now());
			if (this.#happens(0.04)) {
				this.#faults.delete(name);
				end();
			}
		}

		if (this.#happens(0.15)) {
			const [name, entry] = this.#pick([...this.world.entries]);
			if (!this.#faults.has(name)) {
				this.#faultyAt.set(name, this.world.clock.now());
				this.#faults.set(name, this.#pick([() => this.#stop(entry.clock), () => this.#cut(name), () => this.#isolate(name), () => this.#delay(name)])());
			}
		}
	}

	#stop(clock: EntryClock): () => void {
		clock.pause();
		return () => {
			clock.resume({first: 'network', countsPause: this.#happens(0.5), socketOrder: 0});
		};
	}

	#cut(name: string): () => void {
		this.world.store.unreachableEntries.add(name);
		return () => {
			this.world.store.unreachableEntries.delete(name);
		};
	}

	#isolate(name: string): () => void {
		this.world.network.isolate(name, true);
		return () => {
			this.world.network.isolate(name, false);
			this.world.network.connect();
		};
	}

	/** Delays the messages of an entry, so that they arrive after newer ones of other entries. */
	#delay(name: string): () => void {
		const routes = [...this.world.entries.keys()].map(other => `${name}#1>${other}#1`);
		for (const route of routes) {
			this.world.network.linkDelays.set(route, 100 + (this.#random.fraction() * 4000));
		}

		return () => {
			for (const route of routes) {
				this.world.network.linkDelays.delete(route);
			}
		};
	}

	/** Checks that healthy entries know about draining and removed targets once the drain time has passed. */
	#checkAnnouncements(): void {
		const now = this.world.clock.now();
		for (const [id, {state, changedAt}] of this.#targets) {
			if (state === 'ready' || now - changedAt < drainMilliseconds) {
				continue;
			}

			const informed = new Set(this.world.entriesNotInState(id, 'ready'));
			const outdated = [...this.world.entries.keys()].filter(name => this.#isHealthy(name) && !informed.has(name));
			assert.deepEqual(outdated, [], `${id} is ${state} for ${now - changedAt} ms`);
		}
	}

	#isHealthy(name: string): boolean {
		return this.world.clock.now() - (this.#faultyAt.get(name) ?? 0) > recoveryMilliseconds;
	}

	#happens(probability: number): boolean {
		return this.#random.fraction() < probability;
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[this.#random.below(items.length)]!;
	}
}

for (const seed of seeds) {
	// Guards against faults of some entries that keep healthy ones from learning about draining targets.
	test(`healthy entries learn in time which targets are draining while others fail, seed ${seed}`, async () => {
		const run = new RandomRun(seed);
		try {
			await run.play();
			await run.settle();
		} finally {
			run.world.dispose();
		}
	});
}
