/** Whether room is of use to somebody. */
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';

/** How many targets could take a task of those that are waited for. */
export function countEligibleTargets(wanted: readonly CapacityDemand[], room: readonly FreeCapacity[]): number {
	return room.filter(share => wanted.some(({service, need}) => service === share.service && need.fitsInto(share.room))).length;
}
