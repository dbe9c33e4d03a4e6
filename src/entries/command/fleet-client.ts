/** HTTP client for the instance list and the status of entries. */
import {request} from 'undici';
import * as z from 'zod';
import {parseJson} from '../../base/parse-json.js';

const listTimeoutMilliseconds = 3000;
const statusTimeoutMilliseconds = 1000;

const listSchema = z.object({
	instances: z.array(z.object({
		id: z.string(), kind: z.string(), zone: z.string(), address: z.string(), state: z.string(),
	})),
});
const statusSchema = z.looseObject({configuration: z.looseObject({nextOffset: z.int(), digest: z.string()})});

type ListedInstance = z.output<typeof listSchema>['instances'][number];

/** Queries the instance list and the entries listed in it. */
export class FleetClient {
	constructor(private readonly instancesUrl: string) {}

	/** The listed live entries. */
	async entries(): Promise<readonly ListedInstance[]> {
		const response = await request(`${this.instancesUrl}/instances`, {headersTimeout: listTimeoutMilliseconds});
		const {instances} = listSchema.parse(parseJson(await response.body.bytes()));
		return instances.filter(instance => instance.kind === 'entry' && instance.state === 'live');
	}

	/** The status of an entry, or undefined if it doesn't answer. */
	async status(address: string): Promise<z.output<typeof statusSchema> | undefined> {
		try {
			const response = await request(`http://${address}/v1/status`, {headersTimeout: statusTimeoutMilliseconds, bodyTimeout: statusTimeoutMilliseconds});
			return statusSchema.parse(parseJson(await response.body.bytes()));
		} catch {
			return undefined;
		}
	}

	/** The number of listed entries, and the ids of those that haven't reached an offset. */
	async checkProgress(nextOffset: number): Promise<{readonly entries: number; readonly missing: readonly string[]}> {
		const entries = await this.entries();
		const missing = await Promise.all(entries.map(async entry => {
			const status = await this.status(entry.address);
			return (status?.configuration.nextOffset ?? -1) >= nextOffset ? [] : [entry.id];
		}));
		return {entries: entries.length, missing: missing.flat()};
	}
}
