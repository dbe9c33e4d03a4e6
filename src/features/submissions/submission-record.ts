/** A registrar's record of a submission. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';

/** A claimed submission, which is running until it has a verdict. Times are local monotonic milliseconds. */
export type SubmissionRecord = {
	readonly id: SubmissionId;
	readonly fingerprint: string;
	/** The member that made the claim, and the nonce of that claim. */
	readonly executor: MemberId;
	readonly nonce: string;
	/** False while the primary waits for the backup's acknowledgement. */
	isGranted: boolean;
	verdict: Verdict<JobAnswer> | undefined;
	/** Time at which a running submission is considered lost, or a settled record is deleted. */
	expiresAt: number;
	/** Approximate memory of the record. */
	bytes: number;
};
