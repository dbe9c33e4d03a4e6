/** What the registry knows a job by. */
import type {SubmissionId} from '../../base/submission-id.js';

/** A copy of a job as one entry received it. */
export type Submission = {
	readonly id: SubmissionId;
	/** Hash of the profile's name and the tasks: an id that comes back with another content is a mistake. */
	readonly fingerprint: string;
	/** When the job's answer is due, on this entry's monotonic clock. */
	readonly deadlineAt: number;
};
