/** Carries one planned fault out, and heals it. */
import {setTimeout as wait} from 'node:timers/promises';
import {match} from 'ts-pattern';
import type {EdgeProcess} from './edge-process.js';
import type {PlannedFault} from './planned-fault.js';
import type {SoakEnvironment} from './soak-environment.js';

const slowPeerMilliseconds = 120;
const slowStoreMilliseconds = 250;
const lostReplies = 12;
const lateMilliseconds = 3000;
const slowness = 5;
const restartMilliseconds = 250;
/** Of the entries that pause at once. */
const pausedShare = 0.35;

/** What a fault leaves to be undone. */
type Healing = () => Promise<void> | void;

/** Strikes a world. Each method of a fault returns what ends it. */
export class FaultInjector {
	constructor(private readonly world: SoakEnvironment) {}

	/** The entry that a fault strikes; none for the store's, a worker's and everybody's. */
	entryOf({kind, index}: PlannedFault): EdgeProcess | undefined {
		const isOfEntry = (kind.startsWith('entry-') || kind.startsWith('peers-') || kind === 'store-cut' || kind === 'store-silent');
		return isOfEntry ? this.world.entries[index % this.world.entries.length] : undefined;
	}

	async begin(fault: PlannedFault): Promise<Healing> {
		const entry = this.entryOf(fault);
		if (entry !== undefined) {
			return this.#strikeEntry(fault, entry);
		}

		return fault.kind.startsWith('worker-') ? this.#strikeWorker(fault) : this.#strikeAll(fault);
	}

	async #strikeEntry({kind}: PlannedFault, entry: EdgeProcess): Promise<Healing> {
		const {peers, store} = entry;
		return match(kind)
			.with('entry-kill', async () => this.#kill([entry]))
			.with('entry-stop', async () => this.#stop(entry))
			.with('entry-pause', () => pause([entry]))
			.with('entry-hup', () => {
				entry.signal('SIGHUP');
				return noHealing;
			})
			.with('entry-clock', () => {
				entry.stepClock();
				return () => {
					entry.stepClock();
				};
			})
			.with('peers-delay', () => {
				peers.delay(slowPeerMilliseconds);
				return () => {
					peers.delay(0);
				};
			})
			.with('peers-reset', () => {
				peers.resetOpen();
				return noHealing;
			})
			.with('peers-silent', () => {
				peers.loseOpen();
				return noHealing;
			})
			.with('peers-cut', () => cut(peers, true, true))
			.with('peers-cut-inwards', () => cut(peers, true, false))
			.with('store-cut', () => cut(store, true, true))
			.with('store-silent', () => {
				store.loseOpen();
				return noHealing;
			})
			.otherwise(() => noHealing);
	}

	async #strikeAll({kind, index}: PlannedFault): Promise<Healing> {
		const {world} = this;
		return match(kind)
			.with('all-kill', async () => this.#kill(world.entries))
			.with('entries-pause', () => pause(this.#thirdFrom(index)))
			.with('all-reset', () => {
				for (const {peers} of world.entries) {
					peers.resetOpen();
				}

				return noHealing;
			})
			.with('store-down', async () => this.#failStore({status: 503}, {status: 0}))
			.with('store-slow', async () => this.#failStore({delayMilliseconds: slowStoreMilliseconds}, {delayMilliseconds: 0}))
			.with('store-lost', async () => this.#failStore({lostReplies}, {lostReplies: 0}))
			.with('store-forgets', async () => {
				await world.failStore({dropHistoryOf: 'keyed.op'});
				await world.failStore({dropHistoryOf: 'keyed.servers'});
				return noHealing;
			})
			.otherwise(() => noHealing);
	}

	async #strikeWorker({kind, index}: PlannedFault): Promise<Healing> {
		const {world} = this;
		const worker = index % world.workerCount;
		const relay = world.workerRelays[worker]!;
		const fail = async (fault: Readonly<Record<string, unknown>>): Promise<Healing> => {
			await world.failWorker(worker, fault);
			return async () => world.failWorker(worker, {mode: 'normal', slowness: 1});
		};

		return match(kind)
			.with('worker-crash', async () => {
				await world.crashWorker(worker);
				return noHealing;
			})
			.with('worker-cut', () => cut(relay, true, true))
			.with('worker-reset', () => {
				relay.resetOpen();
				return noHealing;
			})
			.with('worker-slow', async () => fail({slowness}))
			.with('worker-late', async () => fail({mode: 'late', lateMilliseconds}))
			.with('worker-silent', 'worker-losing', 'worker-unhealthy', 'worker-failing', 'worker-hanging', 'worker-garbled', async mode => fail({mode: mode.replace('worker-', '')}))
			.otherwise(() => noHealing);
	}

	/** From an entry on, going round. */
	#thirdFrom(index: number): readonly EdgeProcess[] {
		const {entries} = this.world;
		return Array.from({length: Math.max(1, Math.round(entries.length * pausedShare))}, (_, step) => entries[(index + step) % entries.length]!);
	}

	async #failStore(fault: Readonly<Record<string, unknown>>, healed: Readonly<Record<string, unknown>>): Promise<Healing> {
		await this.world.failStore(fault);
		return async () => this.world.failStore(healed);
	}

	/** An entry that another fault has ended already is left to that one. */
	async #kill(entries: readonly EdgeProcess[]): Promise<Healing> {
		const struck = entries.filter(entry => entry.isRunning);
		await Promise.all(struck.map(async entry => entry.terminate('SIGKILL')));
		return async () => {
			await Promise.all(struck.map(async entry => this.world.restart(entry)));
		};
	}

	async #stop(entry: EdgeProcess): Promise<Healing> {
		if (!entry.isRunning) {
			return noHealing;
		}

		entry.signal('SIGCONT');
		await entry.terminate('SIGTERM');
		return async () => {
			await wait(restartMilliseconds);
			await this.world.restart(entry);
		};
	}
}

function noHealing(): void {
	// It was over at once.
}

function pause(entries: readonly EdgeProcess[]): Healing {
	for (const entry of entries) {
		entry.signal('SIGSTOP');
	}

	return () => {
		for (const entry of entries) {
			entry.signal('SIGCONT');
		}
	};
}

function cut(relay: EdgeProcess['peers'], isFrom: boolean, isTowards: boolean): Healing {
	relay.cut(() => isFrom, () => isTowards);
	return () => {
		relay.cut(() => false);
		// A network that was cut has lost what was on its way: connections of that time don't come back.
		relay.loseOpen();
	};
}
