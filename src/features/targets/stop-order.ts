/** The order to stop a run. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TaskId} from '../../base/task-id.js';

/** After it was accepted, this run and all earlier attempts can't start there any more. */
export type StopOrder = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly fence: FencingToken;
	/** After so long without an answer the order counts as unanswered. */
	readonly limitMilliseconds: number;
};
