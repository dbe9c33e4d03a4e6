/** Publishes the routing configuration as an operator does. */
import {appendKeyedRecord} from './append-keyed-record.js';

const topic = 'keyed.op';
const key = 'config';

/** A published version. It may be in force even if the store didn't confirm it. */
type Published = {readonly version: number; readonly isAccepted: boolean};

/** Publishes configurations to a store. */
export class ConfigurationPublisher {
	#version = 0;

	constructor(private readonly storeAddress: string, private readonly service: string, private readonly host: string) {}

	/** Replaces the configuration by one with a route for each path prefix. */
	async publish(prefixes: readonly string[]): Promise<Published> {
		this.#version += 3;
		const version = this.#version;
		const value = JSON.stringify({
			version,
			routes: prefixes.map(prefix => ({
				name: prefix, host: this.host, path_prefix: prefix, service: this.service, priority: 1, attempts: 3, stretch: 1.6, target_latency_ms: 60,
			})),
			limits: {max_body_bytes: 262_144},
		});
		return {version, isAccepted: await appendKeyedRecord(this.storeAddress, {topic, key, value})};
	}
}
