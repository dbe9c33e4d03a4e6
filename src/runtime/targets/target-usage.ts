/** The load that a target reports. */
import type {TaskId} from '../../base/task-id.js';

/** The tasks that a target was running `lagMilliseconds` ago. */
export type TargetUsage = {
	readonly running: readonly TaskId[];
	readonly lagMilliseconds: number;
};
