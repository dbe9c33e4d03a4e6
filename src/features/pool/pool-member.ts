/** Another entry, as this one last heard of it. */
import type {Member} from '../../runtime/peers/member.js';
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';
import type {HeartbeatTiming} from './heartbeat-timing.js';

/** A target's room, as it's known here. */
type TargetCapacity = Omit<FreeCapacity, 'room'> & {room: FreeCapacity['room']};

/** `room` is what the member told last, less what was sent there since. */
export type PoolMember = {
	readonly member: Member;
	heardAt: number;
	/** How often this entry tells it of itself. */
	sendTiming: HeartbeatTiming;
	/** How often this entry expects to hear of it. */
	expectedTiming: HeartbeatTiming;
	/** When that changed last. */
	timingChangedAt: number;
	/** Whether it's one of the few that have to notice this entry's loss soon. */
	isMonitor: boolean;
	/** Whether this entry is one of the few that have to notice its loss soon. */
	isMonitored: boolean;
	isLeaving: boolean;
	routingVersion: number;
	/** How often it was told of room here since it said last what it waits for. */
	capacityUpdates: number;
	/** What its waiting tasks need at least, on any entry's targets. */
	demand: readonly CapacityDemand[];
	freeCapacity: TargetCapacity[];
};
