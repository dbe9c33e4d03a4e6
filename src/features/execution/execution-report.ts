/** Report from a target's owner to the entry that requested a run. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {RunOutcome} from './run-outcome.js';

/** The outcome of an attempt. */
export type ExecutionReport = {
	readonly requester: MemberId;
	readonly task: TaskId;
	readonly attempt: number;
	readonly outcome: RunOutcome;
};
