/** Reads what the targets of a fleet know for certain. */
import {request} from 'undici';
import type {Truth} from '../standins/target/truth.js';
import type {Fleet} from './fleet.js';

/** The counts of each target, by its address. */
export async function targetTruth(fleet: Fleet): Promise<ReadonlyMap<string, Truth>> {
	const truth = new Map<string, Truth>();
	for (const address of [...fleet.targets.values()].flat()) {
		const response = await request(`http://${address}/truth`);
		truth.set(address, await response.body.json() as Truth);
	}

	return truth;
}
