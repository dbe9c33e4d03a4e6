/** What a caller gets for a job that ran. */
import type {JsonValue} from './json-value.js';

/** Complete with one result for each task in the order of submission, or failed with no result at all. */
export type JobAnswer =
	| {readonly kind: 'complete'; readonly results: readonly JsonValue[]}
	| {readonly kind: 'failed'; readonly taskIndex: number; readonly detail: string};
