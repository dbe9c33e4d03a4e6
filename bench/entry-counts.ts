/** What the entries say of themselves. */
import {request} from 'undici';
import {z} from 'zod';
import type {FleetEntry} from '../fleet/fleet-entry.js';

const statusSchema = z.looseObject({
	peers: z.object({
		sentFrames: z.number(), sentBytes: z.number(), sentByKind: z.record(z.string(), z.number()),
	}),
	process: z.object({
		residentBytes: z.number(), heapBytes: z.number(), cpu: z.object({user: z.number(), system: z.number()}), uptimeSeconds: z.number(),
	}),
});
type Status = z.output<typeof statusSchema>;

/** Reads the entries' counts; those that don't answer are left out. */
export async function entryCounts(entries: readonly FleetEntry[]): Promise<ReadonlyMap<string, Status>> {
	const counts = new Map<string, Status>();
	await Promise.all(entries.map(async entry => {
		try {
			const response = await request(`http://${entry.address}/v1/status`, {headersTimeout: 1000, bodyTimeout: 1000});
			counts.set(entry.instance, statusSchema.parse(await response.body.json()));
		} catch {
			// A paused or dead entry tells nothing.
		}
	}));
	return counts;
}
