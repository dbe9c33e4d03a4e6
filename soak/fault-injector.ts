/** Injects planned faults and reverts them. */
import {setTimeout as wait} from 'node:timers/promises';
import {match} from 'ts-pattern';
import type {EdgeProcess} from './edge-process.js';
import type {PlannedFault} from './planned-fault.js';
import type {SoakEnvironment} from './soak-environment.js';

const slowPeerMilliseconds = 120;
const slowWorkerMilliseconds = 200;
const slowStoreMilliseconds = 250;
const lostReplies = 12;
const lateMilliseconds = 3000;
const slowness = 5;
const restartMilliseconds = 250;
/** Share of the entries that `entries-pause`, `entries-suspend` or `entries-slow` affects at once. */
const pausedShare = 0.35;
/** A slow entry is stopped and continued in turn; each stop is too short to be taken for a pause. */
const slowEntryMilliseconds = {stopped: 400, shortestRun: 3, longestRun: 18};

/** Reverts a fault. */
type Reversion = () => Promise<void> | void;

/** Applies faults to the processes and relays of a soak. */
export class FaultInjector {
	constructor(private readonly environment: SoakEnvironment) {}

	/** The entry that a fault affects; `undefined` if it affects the store, a worker or all entries. */
	entryOf({kind, index}: PlannedFault): EdgeProcess | undefined {
		const isOfEntry = (kind.startsWith('entry-') || kind.startsWith('peers-') || kind === 'store-cut' || kind === 'store-silent');
		return isOfEntry ? this.environment.entries[index % this.environment.entries.length] : undefined;
	}

	/** Injects a fault and returns the function that reverts it. */
	async inject(fault: PlannedFault): Promise<Reversion> {
		const entry = this.entryOf(fault);
		if (entry !== undefined) {
			return this.#injectEntryFault(fault, entry);
		}

		return fault.kind.startsWith('worker-') ? this.#injectWorkerFault(fault) : this.#injectGlobalFault(fault);
	}

	async #injectEntryFault({kind}: PlannedFault, entry: EdgeProcess): Promise<Reversion> {
		const {peers, store} = entry;
		return match(kind)
			.with('entry-kill', async () => this.#kill([entry]))
			.with('entry-stop', async () => this.#stop(entry))
			.with('entry-pause', () => pause([entry]))
			.with('entry-suspend', () => suspend([entry]))
			.with('entry-hup', () => {
				entry.signal('SIGHUP');
				return noReversion;
			})
			.with('entry-clock', () => {
				entry.stepClock();
				return () => {
					entry.stepClock();
				};
			})
			.with('peers-delay', () => {
				peers.setDelay(slowPeerMilliseconds);
				return () => {
					peers.setDelay(0);
				};
			})
			.with('peers-reset', () => {
				peers.resetOpenConnections();
				return noReversion;
			})
			.with('peers-silent', () => {
				peers.blackholeOpenConnections();
				return noReversion;
			})
			.with('peers-cut', () => cut(peers, true, true))
			.with('peers-cut-inwards', () => cut(peers, true, false))
			.with('store-cut', () => cut(store, true, true))
			.with('store-silent', () => {
				store.blackholeOpenConnections();
				return noReversion;
			})
			.otherwise(() => noReversion);
	}

	async #injectGlobalFault({kind, index}: PlannedFault): Promise<Reversion> {
		const {environment} = this;
		return match(kind)
			.with('all-kill', async () => this.#kill(environment.entries))
			.with('entries-pause', () => pause(this.#thirdFrom(index)))
			.with('entries-suspend', () => suspend(this.#thirdFrom(index)))
			.with('entries-slow', () => slow(this.#thirdFrom(index), runMillisecondsOf(index)))
			.with('all-reset', () => {
				for (const {peers} of environment.entries) {
					peers.resetOpenConnections();
				}

				return noReversion;
			})
			.with('store-down', async () => this.#failStore({status: 503}, {status: 0}))
			.with('store-slow', async () => this.#failStore({delayMilliseconds: slowStoreMilliseconds}, {delayMilliseconds: 0}))
			.with('store-lost', async () => this.#failStore({lostReplies}, {lostReplies: 0}))
			.with('store-forgets', async () => {
				await environment.setStoreFault({dropHistoryOf: 'keyed.op'});
				await environment.setStoreFault({dropHistoryOf: 'keyed.servers'});
				return noReversion;
			})
			.otherwise(() => noReversion);
	}

	async #injectWorkerFault({kind, index}: PlannedFault): Promise<Reversion> {
		const {environment} = this;
		const worker = index % environment.workerCount;
		const relay = environment.workerRelays[worker]!;
		const fail = async (fault: Readonly<Record<string, unknown>>): Promise<Reversion> => {
			await environment.setWorkerFault(worker, fault);
			return async () => environment.setWorkerFault(worker, {mode: 'normal', slowness: 1});
		};

		return match(kind)
			.with('worker-crash', async () => {
				await environment.crashWorker(worker);
				return noReversion;
			})
			.with('worker-cut', () => cut(relay, true, true))
			.with('worker-reset', () => {
				relay.resetOpenConnections();
				return noReversion;
			})
			.with('worker-delay', () => {
				relay.setDelay(slowWorkerMilliseconds);
				return () => {
					relay.setDelay(0);
				};
			})
			.with('worker-slow', async () => fail({slowness}))
			.with('worker-late', async () => fail({mode: 'late', lateMilliseconds}))
			.with('worker-silent', 'worker-losing', 'worker-unhealthy', 'worker-failing', 'worker-hanging', 'worker-garbled', async mode => fail({mode: mode.replace('worker-', '')}))
			.otherwise(() => noReversion);
	}

	/** About a third of the entries, starting at an index and wrapping around. */
	#thirdFrom(index: number): readonly EdgeProcess[] {
		const {entries} = this.environment;
		return Array.from({length: Math.max(1, Math.round(entries.length * pausedShare))}, (_, step) => entries[(index + step) % entries.length]!);
	}

	async #failStore(fault: Readonly<Record<string, unknown>>, normal: Readonly<Record<string, unknown>>): Promise<Reversion> {
		await this.environment.setStoreFault(fault);
		return async () => this.environment.setStoreFault(normal);
	}

	/** Skips entries that another fault has already terminated; that fault restarts them. */
	async #kill(entries: readonly EdgeProcess[]): Promise<Reversion> {
		const terminated = entries.filter(entry => entry.isRunning);
		await Promise.all(terminated.map(async entry => entry.terminate('SIGKILL')));
		return async () => {
			await Promise.all(terminated.map(async entry => this.environment.restart(entry)));
		};
	}

	async #stop(entry: EdgeProcess): Promise<Reversion> {
		if (!entry.isRunning) {
			return noReversion;
		}

		entry.signal('SIGCONT');
		await entry.terminate('SIGTERM');
		return async () => {
			await wait(restartMilliseconds);
			await this.environment.restart(entry);
		};
	}
}

function noReversion(): void {
	// The fault has no lasting effect.
}

function pause(entries: readonly EdgeProcess[]): Reversion {
	for (const entry of entries) {
		entry.signal('SIGSTOP');
	}

	return () => {
		for (const entry of entries) {
			entry.signal('SIGCONT');
		}
	};
}

function suspend(entries: readonly EdgeProcess[]): Reversion {
	for (const entry of entries) {
		entry.suspend();
	}

	return () => {
		for (const entry of entries) {
			entry.resume();
		}
	};
}

/** How long slow entries run between two stops; drawn with the index of the fault. */
function runMillisecondsOf(index: number): number {
	const {shortestRun, longestRun} = slowEntryMilliseconds;
	return shortestRun + (index % (longestRun - shortestRun));
}

/** Leaves the entries a small share of the processor, so that they read their messages late. */
function slow(entries: readonly EdgeProcess[], runMilliseconds: number): Reversion {
	const ending = new AbortController();
	const signalAll = (signal: 'SIGSTOP' | 'SIGCONT') => {
		for (const entry of entries.filter(({isSuspended}) => !isSuspended)) {
			entry.signal(signal);
		}
	};

	const alternate = async () => {
		while (!ending.signal.aborted) {
			signalAll('SIGSTOP');
			await wait(slowEntryMilliseconds.stopped);
			signalAll('SIGCONT');
			await wait(runMilliseconds);
		}
	};

	const ended = alternate();
	return async () => {
		ending.abort();
		await ended;
	};
}

function cut(relay: EdgeProcess['peers'], isFrom: boolean, isTowards: boolean): Reversion {
	relay.partition(() => isFrom, () => isTowards);
	return () => {
		relay.partition(() => false);
		// Packets sent during the cut are lost, so connections opened before its end must not resume.
		relay.blackholeOpenConnections();
	};
}
