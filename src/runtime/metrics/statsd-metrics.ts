/** Metrics that are sent to a StatsD server over UDP. */
import {StatsD} from 'hot-shots';
import type {Disposable} from '../../base/disposable.js';
import {Metrics} from './metrics.js';

const maximumDatagramBytes = 1432;
const flushIntervalMilliseconds = 1000;

/** Batches measurements, prefixed with `savorylock.` and tagged with the zone, into datagrams; lost datagrams are not resent. */
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
				// Send errors are ignored: metrics must not fail the service.
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
