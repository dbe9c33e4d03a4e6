/** What a target reports. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';
import type {TaskId} from '../../base/task-id.js';
import type {OrderFailure} from './order-failure.js';
import type {RunEnd} from './run-end.js';

/** Everything that runs there, and the ends that aren't acknowledged yet, in their order. */
export type RenewalReply = {
	readonly kind: 'report';
	/** The life that reports; nothing where the platform doesn't state it. */
	readonly incarnation: Incarnation | undefined;
	readonly clock: TargetTime;
	readonly running: ReadonlyArray<{readonly task: TaskId; readonly attempt: number}>;
	readonly ended: readonly RunEnd[];
} | OrderFailure;
