/** What the platform's operator writes. */
import {appendKeyedRecord} from './append-keyed-record.js';

const topic = 'keyed.op';
const key = 'config';

/** A published configuration. It may be in force also where the store's answer didn't come. */
type Published = {readonly version: number; readonly isAccepted: boolean};

/** Publishes configurations on a store. */
export class ConfigurationPublisher {
	#version = 0;

	constructor(private readonly storeAddress: string, private readonly service: string, private readonly host: string) {}

	/** Replaces the configuration by one with these path prefixes. */
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
