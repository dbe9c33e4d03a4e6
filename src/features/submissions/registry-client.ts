/** Client of the submission registry. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Event} from '../../base/event.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Claim} from './claim.js';
import type {Submission} from './submission.js';

/** Claims, settles and cancels submissions on behalf of an entry. */
export abstract class RegistryClient {
	/** Fires when the cancellation of a submission that runs at this entry is requested. */
	abstract readonly onDidRequestCancel: Event<SubmissionId>;

	/** Resolves by the submission's deadline at the latest. Waits for the verdict if the submission is already running. */
	abstract claim(submission: Submission, token: CancellationToken): Promise<Claim>;

	/** Records the verdict of a granted claim; `notRun` releases the id for another attempt. */
	abstract settle(id: SubmissionId, nonce: string, verdict: Verdict<JobAnswer>): void;

	/** Requests the cancellation of a running submission at whichever entry runs it. */
	abstract cancel(id: SubmissionId): void;
}
