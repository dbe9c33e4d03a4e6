/** A request to run a task on some target. */
import type {ProfileName} from '../../base/profile-name.js';
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';
import type {TaskId} from '../../base/task-id.js';

/** One attempt of one task. `avoid` lists targets that an earlier attempt failed on. */
export type RunRequest = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly payload: string;
	readonly need: Resources;
	readonly queue: ProfileName;
	readonly service: ServiceName;
	/** A label that the target must have. */
	readonly label: string | undefined;
	readonly avoid: readonly string[];
	/** How many tasks the job has: all of them wait for the last one. */
	readonly jobTasks: number;
	/** What the run is expected to take, in milliseconds. */
	readonly expectedMilliseconds: number;
};
