/** The firing side of an event. */
import type {Disposable} from './disposable.js';
import type {Event} from './event.js';

/** Holds the listeners of one event; its owner fires it and disposes of it. */
export class Emitter<Payload> implements Disposable {
	readonly #listeners = new Set<(payload: Payload) => void>();

	/** Subscribes; listeners run in the order of their subscription. */
	readonly event: Event<Payload> = listener => {
		this.#listeners.add(listener);
		return {
			dispose: () => {
				this.#listeners.delete(listener);
			},
		};
	};

	fire(payload: Payload): void {
		for (const listener of this.#listeners) {
			listener(payload);
		}
	}

	dispose(): void {
		this.#listeners.clear();
	}
}
