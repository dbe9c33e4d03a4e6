/** Matches demand with free capacity. */
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';

/** Returns how many targets have enough free capacity for at least one of the waiting tasks. */
export function countEligibleTargets(demand: readonly CapacityDemand[], freeCapacity: readonly FreeCapacity[]): number {
	let count = 0;
	for (const {service, room} of freeCapacity) {
		for (const waiting of demand) {
			if (waiting.service === service && waiting.need.fitsInto(room)) {
				count += 1;
				break;
			}
		}
	}

	return count;
}
