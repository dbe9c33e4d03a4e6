/** Another entry, as this one last heard of it. */
import type {Member} from '../../runtime/peers/member.js';
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';
import type {HeartbeatRhythm} from './heartbeat-rhythm.js';

/** A target's room, as it's known here. */
type KnownShare = Omit<FreeCapacity, 'room'> & {room: FreeCapacity['room']};

/** `room` is what the member told last, less what was sent there since. */
export type PoolMember = {
	readonly member: Member;
	heardAt: number;
	/** How often this entry tells it of itself. */
	told: HeartbeatRhythm;
	/** How often this entry expects to hear of it. */
	rhythm: HeartbeatRhythm;
	/** When that changed last. */
	rhythmSince: number;
	/** Whether it's one of the few that have to notice this entry's loss soon. */
	isWatcher: boolean;
	/** Whether this entry is one of the few that have to notice its loss soon. */
	isWatched: boolean;
	isLeaving: boolean;
	routingVersion: number;
	/** How often it was told of room here since it said last what it waits for. */
	offers: number;
	/** What its waiting tasks need at least, on any entry's targets. */
	wanted: readonly CapacityDemand[];
	room: KnownShare[];
};
