/** What a target said about a task that ran. */
import type {JsonValue} from './json-value.js';

/** The end of a task that was started: its result, or the failure that the target reported. */
export type TaskAnswer =
	| {readonly kind: 'result'; readonly value: JsonValue; readonly runMilliseconds: number}
	| {readonly kind: 'failure'; readonly detail: string; readonly runMilliseconds: number};
