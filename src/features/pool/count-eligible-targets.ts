/** Whether room is of use to somebody. */
import type {RoomShare} from '../execution/room-share.js';
import type {WantedRoom} from '../execution/wanted-room.js';

/** How many targets could take a task of those that are waited for. */
export function countEligibleTargets(wanted: readonly WantedRoom[], room: readonly RoomShare[]): number {
	return room.filter(share => wanted.some(({service, need}) => service === share.service && need.fitsInto(share.room))).length;
}
