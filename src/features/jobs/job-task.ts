/** State of one task of a running job. */
import type {Disposable} from '../../base/disposable.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {TaskId} from '../../base/task-id.js';
import type {TaskSpecification} from '../../base/task-specification.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Verdict} from '../../base/verdict.js';

/** `verdict` is set once the task has ended. */
export type JobTask = {
	readonly index: number;
	readonly id: TaskId;
	readonly specification: TaskSpecification;
	/** Number of the current attempt, from 0. */
	attempt: number;
	ticket: TicketId;
	/** Whether the task may have reached a target, in this attempt or in an earlier one that was not refused. */
	hasStarted: boolean;
	/** Targets that refused the task. */
	readonly excluded: InstanceId[];
	/** Cancels the current run when disposed of. */
	stop: Disposable | undefined;
	verdict: Verdict<TaskAnswer> | undefined;
};
