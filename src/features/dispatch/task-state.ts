/** One task of a running job. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';

/**
 * `owner` is the entry that runs the present attempt. Without one the task waits; a task that has ended well has
 * `isDone` set.
 */
export type TaskState = {
	readonly id: TaskId;
	attempt: number;
	failures: number;
	owner: MemberId | undefined;
	/** When the owner gave the run's target up; none while its owner is known. */
	handedOverAt: number | undefined;
	isDone: boolean;
	readonly excludedTargets: Set<string>;
};
