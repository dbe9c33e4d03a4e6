/** The result of an append to the platform's log. */
import type {StreamOffset} from '../../base/stream-offset.js';

/** `unknown`: the record may have been appended although no reply came; a read settles it. */
export type AppendResult =
	| {readonly kind: 'appended'; readonly offset: StreamOffset}
	| {readonly kind: 'notAppended'; readonly detail: string}
	| {readonly kind: 'unknown'; readonly detail: string};
