/** A request to run a task on some target. */
import type {ProfileName} from '../../base/profile-name.js';
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';
import type {TaskId} from '../../base/task-id.js';
import type {PlacementConstraints} from './placement-constraints.js';

/** One attempt of one task. `avoid` lists targets that an earlier attempt failed on. */
export type RunRequest = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly payload: string;
	readonly need: Resources;
	readonly queue: ProfileName;
	readonly service: ServiceName;
	readonly place: PlacementConstraints;
	/** It's not to be started far from its data. */
	readonly requiresNearData: boolean;
	readonly excludedTargets: readonly string[];
	/** How many tasks the job has: all of them wait for the last one. */
	readonly jobTaskCount: number;
	/** What the run is expected to take, in milliseconds. */
	readonly expectedMilliseconds: number;
};
