/** What the platform's operator writes. */
import {Buffer} from 'node:buffer';
import {request} from 'undici';

const lengthBytes = 4;
const key = 'config';

/** Publishes configurations on a store; `undefined` where the store didn't accept. */
export class Operator {
	#version = 0;

	constructor(private readonly storeAddress: string, private readonly service: string, private readonly host: string) {}

	/** Replaces the configuration by one with these path prefixes; returns its version once the store has accepted it. */
	async publish(prefixes: readonly string[]): Promise<number | undefined> {
		this.#version += 3;
		const version = this.#version;
		const value = JSON.stringify({
			version,
			routes: prefixes.map(prefix => ({
				name: prefix, host: this.host, path_prefix: prefix, service: this.service, priority: 1, attempts: 3, stretch: 1.6, target_latency_ms: 60,
			})),
			limits: {max_body_bytes: 262_144},
		});
		const record = Buffer.concat([Buffer.alloc(lengthBytes), Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)]);
		record.writeUInt32BE(record.length - lengthBytes, 0);
		try {
			const response = await request(`http://${this.storeAddress}/log-append?topic=keyed.op&part=0`, {method: 'POST', body: record});
			await response.body.dump();
			return response.statusCode === 200 ? version : undefined;
		} catch {
			return undefined;
		}
	}
}
