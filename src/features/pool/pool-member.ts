/** Another entry, as this one last heard of it. */
import type {Member} from '../../runtime/peers/member.js';
import type {RoomShare} from '../execution/room-share.js';
import type {WantedRoom} from '../execution/wanted-room.js';

/** A target's room, as it's known here. */
type KnownShare = Omit<RoomShare, 'room'> & {room: RoomShare['room']};

/** `room` is what the member told last, less what was sent there since. */
export type PoolMember = {
	readonly member: Member;
	heardAt: number;
	/** Whether it's heard often: in a large fleet only those of the zone are, and those that run something for each other. */
	isClose: boolean;
	/** When that changed last. */
	closeSince: number;
	isLeaving: boolean;
	routingVersion: number;
	/** What its waiting tasks need at least, on any entry's targets. */
	wanted: readonly WantedRoom[];
	room: KnownShare[];
};
