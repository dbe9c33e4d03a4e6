/** Matches demand with free capacity. */
import type {RoomShare} from '../execution/room-share.js';
import type {WantedRoom} from '../execution/wanted-room.js';

/** Returns how many targets have enough free capacity for at least one of the waiting tasks. */
export function countEligibleTargets(demand: readonly WantedRoom[], freeCapacity: readonly RoomShare[]): number {
	return freeCapacity.filter(share => demand.some(({service, need}) => service === share.service && need.fitsInto(share.room))).length;
}
