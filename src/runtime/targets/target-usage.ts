/** What a target says of itself. */
import type {TaskId} from '../../base/task-id.js';

/** The tasks that a target was running, as of some milliseconds ago. */
export type TargetUsage = {
	readonly running: readonly TaskId[];
	readonly lagMilliseconds: number;
};
