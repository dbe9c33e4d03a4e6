/** The backlog that an entry publishes to one peer. */
import type {ServiceBacklog} from './service-backlog.js';
import type {ZoneBacklog} from './zone-backlog.js';

/** A peer in the same zone gets the sender's own figures and sums of other zones, any other peer the sum of the sender's zone. */
export type BacklogReport = {
	/** Absent for a peer in another zone. */
	readonly own: readonly ServiceBacklog[] | undefined;
	readonly zones: readonly ZoneBacklog[];
};
