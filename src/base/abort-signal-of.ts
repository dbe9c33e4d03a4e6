/** Bridges cancellation tokens to the abort signals that libraries take. */
import type {CancellationToken} from './cancellation-token.js';

/** A signal that aborts on the token's cancellation, or after a number of milliseconds. */
export function abortSignalOf(timeoutMilliseconds: number, token: CancellationToken): AbortSignal {
	const controller = new AbortController();
	token.onDidRequestCancellation(() => {
		controller.abort();
	});
	return AbortSignal.any([controller.signal, AbortSignal.timeout(timeoutMilliseconds)]);
}
