/** The result of a read from the platform's log. */
import type {StreamPage} from './stream-page.js';

/** A page, or the reason that there is none. */
export type StreamReadResult =
	| {readonly kind: 'page'; readonly page: StreamPage}
	| {readonly kind: 'unavailable'; readonly detail: string};
