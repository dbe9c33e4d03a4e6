/** Another entry, as this one last heard of it. */
import type {Member} from '../../runtime/peers/member.js';
import type {RoomShare} from '../execution/room-share.js';

/** `room` is what the member told last, less what was sent there since. */
export type PoolMember = {
	readonly member: Member;
	heardAt: number;
	isLeaving: boolean;
	routingVersion: number;
	/** Tasks that wait there for room on any entry's targets. */
	waitingTasks: number;
	room: RoomShare[];
};
