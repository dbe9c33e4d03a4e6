/** Identifies a job in the registry. */
import type {SubmissionId} from '../../base/submission-id.js';

/** A submission of a job as received by one entry. */
export type Submission = {
	readonly id: SubmissionId;
	/** Hash of the profile's name and the tasks, used to detect the reuse of an id for a different job. */
	readonly fingerprint: string;
	/** Deadline of the job in milliseconds on this entry's monotonic clock. */
	readonly deadlineAt: number;
};
