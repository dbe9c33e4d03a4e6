/** Fetches the counters that the stand-in targets keep. */
import {request} from 'undici';
import type {Truth} from '../standins/target/truth.js';
import type {Fleet} from './fleet.js';

/** Counters of each target, keyed by address. */
export async function fetchTargetCounters(fleet: Fleet): Promise<ReadonlyMap<string, Truth>> {
	const counters = new Map<string, Truth>();
	for (const address of [...fleet.targets.values()].flat()) {
		const response = await request(`http://${address}/truth`);
		counters.set(address, await response.body.json() as Truth);
	}

	return counters;
}
