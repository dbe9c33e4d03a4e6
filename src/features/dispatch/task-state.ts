/** State of one task of a running job. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';

/** `owner` is the entry that runs the current attempt. A task without an owner is waiting, unless `isDone` is set. */
export type TaskState = {
	readonly id: TaskId;
	attempt: number;
	failures: number;
	owner: MemberId | undefined;
	/** Monotonic time at which the owner released the run's target; undefined once another entry has adopted the run. */
	handedOverAt: number | undefined;
	/** The fencing token with which the owner adopted the run; undefined if the run was started there. */
	adoptionFence: FencingToken | undefined;
	isDone: boolean;
	/** Number of attempts that owners refused for lack of capacity, or for lateness. */
	capacityRefusals: number;
	/** Targets on which earlier attempts failed or were lost. */
	readonly excludedTargets: Set<string>;
};
