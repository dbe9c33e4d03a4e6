/** Matches demand with free capacity. */
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';

/** Returns how many targets have enough free capacity for at least one of the waiting tasks. */
export function countEligibleTargets(demand: readonly CapacityDemand[], freeCapacity: readonly FreeCapacity[]): number {
	return freeCapacity.filter(capacity => demand.some(({service, need}) => service === capacity.service && need.fitsInto(capacity.room))).length;
}
