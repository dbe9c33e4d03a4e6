/** Where entries find out whether a submission may be run. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Event} from '../../base/event.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Claim} from './claim.js';
import type {Submission} from './submission.js';

/** The registry of submissions as one entry uses it, whichever entries keep the records. */
export abstract class RegistryClient {
	/** Fires when somebody asks for the end of a submission that runs at this entry. */
	abstract readonly onDidRequestCancel: Event<SubmissionId>;

	/** Ends by the submission's deadline at the latest; waits for another entry's run of the same submission. */
	abstract claim(submission: Submission, token: CancellationToken): Promise<Claim>;

	/** Records the verdict of a granted claim; `notRun` frees the id for a new try. */
	abstract settle(id: SubmissionId, nonce: string, verdict: Verdict<JobAnswer>): void;

	/** Asks for the end of a running submission, wherever it runs. */
	abstract cancel(id: SubmissionId): void;
}
