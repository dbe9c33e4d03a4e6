/** The result of claiming a submission. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {Verdict} from '../../base/verdict.js';

/** At most one claim of an id is `granted`; its holder runs and settles the job. All others get the job's verdict. */
export type Claim =
	| {readonly kind: 'granted'; readonly nonce: string}
	| {readonly kind: 'concluded'; readonly verdict: Verdict<JobAnswer>};
