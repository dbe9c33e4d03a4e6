/** What an entry tells of itself. */
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';

/** Sent to all other entries regularly, as a heartbeat. */
export type NodeState = {
	readonly isLeaving: boolean;
	readonly routingVersion: number;
	/** What its waiting tasks need at least; empty where none waits. */
	readonly demand: readonly CapacityDemand[];
	/** The room of each target that takes new tasks. */
	readonly freeCapacity: readonly FreeCapacity[];
};
