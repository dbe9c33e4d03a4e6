/** A target as a policy sees it. */
import type {Instance} from '../../runtime/instances/instance.js';

/** A target that can take the task at hand. */
export type TargetCandidate = {
	readonly instance: Instance;
	/** Slots that are lent to nobody. */
	readonly freeSlots: number;
	readonly slots: number;
	/** Slots that are lent to the requester of the task at hand. */
	readonly heldByRequester: number;
	/** Tasks bound to the target that wait for a slot there; 0 under late binding. */
	readonly boundTasks: number;
	/** Tasks of the same job in the target's rack. */
	readonly jobTasksInRack: number;
	readonly condition: 'fit' | 'slow' | 'probe';
};
