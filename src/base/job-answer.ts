/** Answer to a job that ran. */
import type {JsonValue} from './json-value.js';

/** Complete with one result per task in submission order, or failed without results. */
export type JobAnswer =
	| {readonly kind: 'complete'; readonly results: readonly JsonValue[]}
	| {readonly kind: 'failed'; readonly taskIndex: number; readonly detail: string};
