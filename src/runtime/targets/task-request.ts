/** A request to run a task on a target. */
import type {JsonValue} from '../../base/json-value.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {TaskId} from '../../base/task-id.js';

/** One attempt of a task; the target stops the task after `limitMilliseconds`. */
export type TaskRequest = {
	readonly taskId: TaskId;
	readonly profile: ProfileName;
	readonly payload: JsonValue;
	readonly limitMilliseconds: number;
};
