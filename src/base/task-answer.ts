/** A target's answer for a task that ran. */
import type {JsonValue} from './json-value.js';

/** The result of the task, or the failure that the target reported. */
export type TaskAnswer =
	| {readonly kind: 'result'; readonly value: JsonValue; readonly runMilliseconds: number}
	| {readonly kind: 'failure'; readonly detail: string; readonly runMilliseconds: number};
