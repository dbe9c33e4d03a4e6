/** Reads what the targets of a fleet know for certain. */
import {request} from 'undici';
import type {TargetCounters} from '../standins/target/target-counters.js';
import type {Fleet} from './fleet.js';

/** The counts of each target, by its address. */
export async function targetTruth(fleet: Fleet): Promise<ReadonlyMap<string, TargetCounters>> {
	const truth = new Map<string, TargetCounters>();
	for (const address of [...fleet.targets.values()].flat()) {
		const response = await request(`http://${address}/truth`);
		truth.set(address, await response.body.json() as TargetCounters);
	}

	return truth;
}
