/** The result of reading from the platform's log. */
import type {StreamPage} from './stream-page.js';

/** A page of records, or the reason why the log is unavailable. */
export type StreamReadResult =
	| {readonly kind: 'page'; readonly page: StreamPage}
	| {readonly kind: 'unavailable'; readonly detail: string};
