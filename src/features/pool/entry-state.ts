/** What an entry tells of itself. */
import type {RoomShare} from '../execution/room-share.js';
import type {WantedRoom} from '../execution/wanted-room.js';

/** Sent to all other entries regularly, as a heartbeat. */
export type EntryState = {
	readonly isLeaving: boolean;
	readonly routingVersion: number;
	/** What its waiting tasks need at least; empty where none waits. */
	readonly wanted: readonly WantedRoom[];
	/** The room of each target that takes new tasks. */
	readonly room: readonly RoomShare[];
};
