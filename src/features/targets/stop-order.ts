/** Order to stop a run. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TaskId} from '../../base/task-id.js';

/** Once accepted, this and all earlier attempts can't start on the target any more. */
export type StopOrder = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly fence: FencingToken;
	/** Time limit for the answer. */
	readonly limitMilliseconds: number;
};
