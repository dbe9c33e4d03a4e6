/** Target that a placement policy may choose. */
import type {Instance} from '../../runtime/instances/instance.js';

/** A target that can run the task being placed. */
export type TargetCandidate = {
	readonly instance: Instance;
	readonly freeSlots: number;
	readonly slots: number;
	/** Slots leased to the requester of the task. */
	readonly heldByRequester: number;
	/** Tasks waiting for this target under early binding; 0 under late binding. */
	readonly boundTasks: number;
	/** Tasks of the same job running in the target's rack. */
	readonly jobTasksInRack: number;
	readonly condition: 'fit' | 'slow' | 'probe';
};
