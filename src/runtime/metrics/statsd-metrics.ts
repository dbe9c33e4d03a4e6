/** Metrics over StatsD datagrams. */
import {StatsD} from 'hot-shots';
import type {Disposable} from '../../base/disposable.js';
import {Metrics} from './metrics.js';

const maximumDatagramBytes = 1432;
const flushIntervalMilliseconds = 1000;

/** Buffers into datagrams with the prefix `savorylock.`; a lost datagram is a lost measurement. */
export class StatsdMetrics extends Metrics implements Disposable {
	readonly #client: StatsD;

	constructor(host: string, port: number, zone: string) {
		super();
		this.#client = new StatsD({
			host,
			port,
			prefix: 'savorylock.',
			globalTags: {zone},
			maxBufferSize: maximumDatagramBytes,
			bufferFlushInterval: flushIntervalMilliseconds,
			errorHandler() {
				// A metrics server that is away must not disturb the service: measurements are dropped.
			},
		});
	}

	override count(name: string, by = 1, tags: Readonly<Record<string, string>> = {}): void {
		this.#client.increment(name, by, {...tags});
	}

	override gauge(name: string, value: number): void {
		this.#client.gauge(name, value);
	}

	override timing(name: string, milliseconds: number, tags: Readonly<Record<string, string>> = {}): void {
		this.#client.timing(name, milliseconds, {...tags});
	}

	dispose(): void {
		this.#client.close();
	}
}
