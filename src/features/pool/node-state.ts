/** What an entry tells of itself. */
import type {RoomShare} from '../execution/room-share.js';
import type {WantedRoom} from '../execution/wanted-room.js';

/** Sent to all other entries regularly, as a heartbeat. */
export type NodeState = {
	readonly isLeaving: boolean;
	readonly routingVersion: number;
	/** What its waiting tasks need at least; empty where none waits. */
	readonly demand: readonly WantedRoom[];
	/** The room of each target that takes new tasks. */
	readonly freeCapacity: readonly RoomShare[];
};
