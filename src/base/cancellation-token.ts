/** Cooperative cancellation, the observing side. */
import type {Event} from './event.js';

/** Tells long work that its result is no longer wanted. Always the last parameter. */
export type CancellationToken = {
	readonly isCancellationRequested: boolean;
	/** Fires once, at the request; a subscription made later fires at once. */
	readonly onDidRequestCancellation: Event<void>;
};
