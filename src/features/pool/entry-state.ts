/** The state that an entry publishes to its peers. */
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';

/** Sent to all peers periodically, as the heartbeat. */
export type EntryState = {
	readonly isLeaving: boolean;
	readonly routingVersion: number;
	/** The minimum needs of the waiting tasks; empty if none waits. */
	readonly demand: readonly CapacityDemand[];
	/** The free capacity of each target that accepts new tasks. */
	readonly freeCapacity: readonly FreeCapacity[];
};
