/** What an entry asks of a target. */
import type {JsonValue} from '../../base/json-value.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {TaskId} from '../../base/task-id.js';

/** One start of one task; the target stops the task when the limit has passed. */
export type TaskRequest = {
	readonly taskId: TaskId;
	readonly profile: ProfileName;
	readonly payload: JsonValue;
	readonly limitMilliseconds: number;
};
