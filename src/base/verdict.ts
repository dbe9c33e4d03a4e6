/** Outcome of a request, as returned by all layers. */
import type {RefusalCause} from './refusal-cause.js';
import type {UncertaintyCause} from './uncertainty-cause.js';

/**
 * Answered, provably not run, or unknown. Determines retries and the HTTP status.
 * `mayHaveRun` must never be converted to `notRun`, and only `notRun` may be retried.
 */
export type Verdict<Answer> =
	| {readonly kind: 'answered'; readonly answer: Answer}
	| {
		readonly kind: 'notRun';
		readonly cause: RefusalCause;
		readonly detail: string;
		/** Suggested retry delay in milliseconds; absent if a retry will not help. */
		readonly retryAfterMilliseconds?: number;
	}
	| {readonly kind: 'mayHaveRun'; readonly cause: UncertaintyCause; readonly detail: string};
