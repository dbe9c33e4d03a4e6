/** Fetches the counters that the stand-in targets keep. */
import {request} from 'undici';
import type {TargetCounters} from '../standins/target/target-counters.js';
import type {Fleet} from './fleet.js';

/** Counters of each target, keyed by address. */
export async function fetchTargetCounters(fleet: Fleet): Promise<ReadonlyMap<string, TargetCounters>> {
	const counters = new Map<string, TargetCounters>();
	for (const address of [...fleet.targets.values()].flat()) {
		const response = await request(`http://${address}/truth`);
		counters.set(address, await response.body.json() as TargetCounters);
	}

	return counters;
}
