/** What an owner tells the entry that asked for a run. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {RunOutcome} from './run-outcome.js';

/** The attempt has ended in this way. */
export type ExecutionReport = {
	readonly requester: MemberId;
	readonly task: TaskId;
	readonly attempt: number;
	readonly outcome: RunOutcome;
};
