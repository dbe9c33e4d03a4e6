/** An in-memory store of the target list. */
import {Buffer} from 'node:buffer';
import type {StoreClient} from '../../platform/store-client.js';
import type {EntryClock} from './entry-clock.js';

const delayMilliseconds = 4;
const failureMilliseconds = 500;

type LogEntry = {readonly key: string; readonly value: Uint8Array | undefined};

/** Holds one log; each entry reads it through its own client, with counted reads and optional failures. */
export class InMemoryListStore {
	readonly log: LogEntry[] = [];
	/** Entries whose reads all fail. */
	readonly unreachableEntries = new Set<string>();
	/** Number of upcoming reads that fail, by entry. */
	readonly remainingFailures = new Map<string, number>();
	readonly reads = new Map<string, number>();
	readonly fullReads = new Map<string, number>();

	put(key: string, value: string | undefined): void {
		this.log.push({key, value: value === undefined ? undefined : Buffer.from(value)});
	}

	/** Creates an entry's client. Implements only `newest` and `read`. */
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

				return this.#respond(name, clock, {values, end: this.log.length}, undefined);
			},
			read: async (_topic: string, from: number) => {
				count(this.reads, name);
				return this.#respond(name, clock, {kind: 'records', records: this.log.slice(from), next: this.log.length}, {kind: 'failed'});
			},
		};
		return client as unknown as StoreClient;
	}

	async #respond<Response, Failure>(name: string, clock: EntryClock, response: Response, failure: Failure): Promise<Response | Failure> {
		const failures = this.remainingFailures.get(name) ?? 0;
		this.remainingFailures.set(name, Math.max(0, failures - 1));
		const isFailing = failures > 0 || this.unreachableEntries.has(name);
		return new Promise(resolve => {
			clock.schedule(isFailing ? failureMilliseconds : delayMilliseconds, () => {
				resolve(isFailing ? failure : response);
			});
		});
	}
}

function count(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}
