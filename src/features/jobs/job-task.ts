/** One task of a running job. */
import type {Disposable} from '../../base/disposable.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {TaskId} from '../../base/task-id.js';
import type {TaskSpecification} from '../../base/task-specification.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Verdict} from '../../base/verdict.js';

/** The task's state; `verdict` is there once it has ended, and only then. */
export type JobTask = {
	readonly index: number;
	readonly id: TaskId;
	readonly specification: TaskSpecification;
	/** The number of the present try, from 0. */
	attempt: number;
	ticket: TicketId;
	/** True from the moment that the task may reach a target, in this try or an earlier one that wasn't refused. */
	hasStarted: boolean;
	/** Targets that refused the task. */
	readonly excluded: InstanceId[];
	stop: Disposable | undefined;
	verdict: Verdict<TaskAnswer> | undefined;
};
