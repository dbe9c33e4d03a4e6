/** Converts cancellation tokens to abort signals. */
import type {CancellationToken} from './cancellation-token.js';

/** A signal that aborts on cancellation of the token or after the timeout in milliseconds. */
export function abortSignalOf(timeoutMilliseconds: number, token: CancellationToken): AbortSignal {
	const controller = new AbortController();
	token.onDidRequestCancellation(() => {
		controller.abort();
	});
	return AbortSignal.any([controller.signal, AbortSignal.timeout(timeoutMilliseconds)]);
}
