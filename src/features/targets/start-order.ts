/** The order to start a run. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetTime} from '../../base/target-time.js';
import type {TaskId} from '../../base/task-id.js';

/** `leaseUntil` also ends the order's own validity: a target that handles it later rejects it. */
export type StartOrder = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly payload: string;
	readonly fence: FencingToken;
	readonly leaseUntil: TargetTime;
	/** After so long without an answer the order counts as unanswered. */
	readonly limitMilliseconds: number;
};
