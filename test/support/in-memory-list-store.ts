/** The list of targets in the store, in memory. */
import {Buffer} from 'node:buffer';
import type {StoreClient} from '../../platform/store-client.js';
import type {EntryClock} from './entry-clock.js';

const delayMilliseconds = 4;
const failureMilliseconds = 500;

type Entry = {readonly key: string; readonly value: Uint8Array | undefined};

/** One log for all entries, each of which has its own way to it. */
export class InMemoryListStore {
	readonly log: Entry[] = [];
	/** Entries that get no answer. */
	readonly unreachableEntries = new Set<string>();
	/** So many of an entry's next reads get no answer. */
	readonly remainingFailures = new Map<string, number>();
	readonly reads = new Map<string, number>();
	readonly fullReads = new Map<string, number>();

	put(key: string, value: string | undefined): void {
		this.log.push({key, value: value === undefined ? undefined : Buffer.from(value)});
	}

	/** The store as one entry reaches it. */
	createClient(name: string, clock: EntryClock): StoreClient {
		const client = {
			readLatest: async () => {
				count(this.fullReads, name);
				const values = new Map<string, Uint8Array>();
				for (const {key, value} of this.log) {
					if (value === undefined) {
						values.delete(key);
					} else {
						values.set(key, value);
					}
				}

				return this.#answer(name, clock, {values, end: this.log.length}, undefined);
			},
			read: async (_topic: string, from: number) => {
				count(this.reads, name);
				return this.#answer(name, clock, {kind: 'records', records: this.log.slice(from), next: this.log.length}, {kind: 'failed'});
			},
		};
		return client as unknown as StoreClient;
	}

	async #answer<Answer, Failure>(name: string, clock: EntryClock, answer: Answer, failure: Failure): Promise<Answer | Failure> {
		const losses = this.remainingFailures.get(name) ?? 0;
		this.remainingFailures.set(name, Math.max(0, losses - 1));
		const isLost = losses > 0 || this.unreachableEntries.has(name);
		return new Promise(resolve => {
			clock.schedule(isLost ? failureMilliseconds : delayMilliseconds, () => {
				resolve(isLost ? failure : answer);
			});
		});
	}
}

function count(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}
