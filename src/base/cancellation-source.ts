/** Requests cooperative cancellation. */
import type {CancellationToken} from './cancellation-token.js';
import type {Disposable} from './disposable.js';
import {Emitter} from './emitter.js';
import type {Event} from './event.js';

/** Owns a cancellation token; cancelling it again has no effect. */
export class CancellationSource implements Disposable {
	readonly token: CancellationToken;
	#cancelled = false;
	readonly #emitter = new Emitter<void>();

	constructor() {
		const isCancelled = () => this.#cancelled;
		const subscribe: Event<void> = listener => {
			if (!this.#cancelled) {
				return this.#emitter.event(listener);
			}

			listener();
			return {
				dispose() {
				// The event has already fired.
				},
			};
		};

		this.token = {
			get isCancellationRequested() {
				return isCancelled();
			},
			onDidRequestCancellation: subscribe,
		};
	}

	cancel(): void {
		if (this.#cancelled) {
			return;
		}

		this.#cancelled = true;
		this.#emitter.fire();
	}

	dispose(): void {
		this.#emitter.dispose();
	}
}
