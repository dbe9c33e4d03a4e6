/** What a registrar remembers of a submission. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';

/** A granted submission: running until it has a verdict. Times are the registrar's own monotonic ones. */
export type SubmissionRecord = {
	readonly id: SubmissionId;
	readonly fingerprint: string;
	/** Who was granted the claim, and which of its claims. */
	readonly executor: MemberId;
	readonly nonce: string;
	/** False while its owner waits for the copy's holder: nobody runs it by this record yet. */
	isGranted: boolean;
	verdict: Verdict<JobAnswer> | undefined;
	/** When a running record is given up, or a settled one forgotten. */
	expiresAt: number;
	/** Memory that the record takes, roughly. */
	bytes: number;
};
