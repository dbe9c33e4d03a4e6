/** The answer to the question whether a submission may be run. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {Verdict} from '../../base/verdict.js';

/** `granted` exactly once for an id: its holder runs the job and settles it. Everyone else gets the job's verdict. */
export type Claim =
	| {readonly kind: 'granted'; readonly nonce: string}
	| {readonly kind: 'concluded'; readonly verdict: Verdict<JobAnswer>};
