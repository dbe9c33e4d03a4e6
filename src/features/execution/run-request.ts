/** A request to run a task on some target. */
import type {ProfileName} from '../../base/profile-name.js';
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';
import type {TaskId} from '../../base/task-id.js';
import type {PlacementConstraints} from './placement-constraints.js';

/** One attempt of one task. `excludedTargets` lists the targets on which an earlier attempt failed. */
export type RunRequest = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly payload: string;
	readonly need: Resources;
	readonly queue: ProfileName;
	readonly service: ServiceName;
	readonly place: PlacementConstraints;
	/** Whether the run may start only on a target near its data. */
	readonly requiresNearData: boolean;
	readonly excludedTargets: readonly string[];
	/** Number of tasks in the job. */
	readonly jobTaskCount: number;
	/** Expected duration near the task's data. */
	readonly expectedMilliseconds: number;
	/**
	 * Time from the request to the job's objective; absent if the choice of the target doesn't depend on it. In a message to an
	 * owner, 0 allows any target, and a greater value only targets on which the task is in time.
	 */
	readonly millisecondsToObjective?: number;
};
