/** Observes cooperative cancellation. */
import type {Event} from './event.js';

/** Signals to a pending operation that its result is no longer needed. By convention the last parameter. */
export type CancellationToken = {
	readonly isCancellationRequested: boolean;
	/** Fires once; a listener added after the cancellation is called immediately. */
	readonly onDidRequestCancellation: Event<void>;
};
