/** The last known state of a peer. */
import type {Member} from '../../runtime/peers/member.js';
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';
import type {HeartbeatTiming} from './heartbeat-timing.js';
import type {Mesh} from './mesh.js';

/** The free capacity of a peer's target, as known to this entry. */
type TargetCapacity = Omit<FreeCapacity, 'room'> & {room: FreeCapacity['room']};

/** `freeCapacity` is what the peer last published, minus the needs of the tasks that were sent to it since. */
export type PoolMember = {
	readonly member: Member;
	/** When this entry last received anything from the peer, in milliseconds of its monotonic clock. */
	heardAt: number;
	/** The timing of the heartbeats that this entry sends to the peer. */
	sendTiming: HeartbeatTiming;
	/** The timing of the heartbeats that this entry expects from the peer. */
	expectedTiming: HeartbeatTiming;
	/** When `expectedTiming` last changed. */
	timingChangedAt: number;
	/** Whether the peer monitors this entry. */
	isMonitor: boolean;
	/** Whether this entry monitors the peer. */
	isMonitored: boolean;
	/** The peer's mesh; undefined until its first state. */
	mesh: Mesh | undefined;
	isLeaving: boolean;
	routingVersion: number;
	/** How many capacity announcements the peer has received since it last published its state. */
	capacityUpdates: number;
	/** The minimum needs of the peer's waiting tasks. */
	demand: readonly CapacityDemand[];
	freeCapacity: TargetCapacity[];
};
