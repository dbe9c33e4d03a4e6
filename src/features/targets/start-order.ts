/** Order to start a run. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetTime} from '../../base/target-time.js';
import type {TaskId} from '../../base/task-id.js';

/** `leaseUntil`, by the target's clock, is also the order's expiry: the target rejects it afterwards. */
export type StartOrder = {
	readonly task: TaskId;
	readonly attempt: number;
	readonly payload: string;
	readonly fence: FencingToken;
	readonly leaseUntil: TargetTime;
	/** Time limit for the answer. */
	readonly limitMilliseconds: number;
};
