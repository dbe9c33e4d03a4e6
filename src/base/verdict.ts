/** What is known about a request's fate; the one type that every layer returns. */
import type {UncertaintyCause} from './uncertainty-cause.js';
import type {RefusalCause} from './refusal-cause.js';

/**
 * Answered, truly not run, or not known. It alone decides on retries, the HTTP status and the wording.
 * No code may make `notRun` out of `mayHaveRun`; only `notRun` may be tried again.
 */
export type Verdict<Answer> =
	| {readonly kind: 'answered'; readonly answer: Answer}
	| {
		readonly kind: 'notRun';
		readonly cause: RefusalCause;
		readonly detail: string;
		/** When trying again may help, in milliseconds; absent where it won't. */
		readonly retryAfterMilliseconds?: number;
	}
	| {readonly kind: 'mayHaveRun'; readonly cause: UncertaintyCause; readonly detail: string};
