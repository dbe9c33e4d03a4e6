/** The result of appending to the platform's log. */
import type {StreamOffset} from '../../base/stream-offset.js';

/** With `unknown`, the record may have been appended although no response arrived; a later read resolves this. */
export type AppendResult =
	| {readonly kind: 'appended'; readonly offset: StreamOffset}
	| {readonly kind: 'notAppended'; readonly detail: string}
	| {readonly kind: 'unknown'; readonly detail: string};
