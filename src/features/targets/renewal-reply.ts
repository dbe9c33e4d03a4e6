/** A target's answer to a renewal. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';
import type {TaskId} from '../../base/task-id.js';
import type {OrderFailure} from './order-failure.js';
import type {RunEnd} from './run-end.js';

/** All current runs, and the unacknowledged ends in order. */
export type RenewalReply = {
	readonly kind: 'report';
	/** The reporting incarnation; undefined if the platform doesn't provide it. */
	readonly incarnation: Incarnation | undefined;
	readonly clock: TargetTime;
	readonly running: ReadonlyArray<{readonly task: TaskId; readonly attempt: number}>;
	readonly ended: readonly RunEnd[];
} | OrderFailure;
