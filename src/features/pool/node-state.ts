/** The state that a node publishes to its peers. */
import type {RoomShare} from '../execution/room-share.js';
import type {WantedRoom} from '../execution/wanted-room.js';

/** Sent to all peers periodically, as the heartbeat. */
export type NodeState = {
	readonly isLeaving: boolean;
	readonly routingVersion: number;
	/** The minimum needs of the waiting tasks; empty if none waits. */
	readonly demand: readonly WantedRoom[];
	/** The free capacity of each target that accepts new tasks. */
	readonly freeCapacity: readonly RoomShare[];
};
