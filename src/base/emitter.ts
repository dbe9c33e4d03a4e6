/** Event emitter. */
import type {Disposable} from './disposable.js';
import type {Event} from './event.js';

/** Holds the listeners of one event; its owner fires the event and disposes of the emitter. */
export class Emitter<Payload> implements Disposable {
	readonly #listeners = new Set<(payload: Payload) => void>();

	/** Adds a listener; listeners run in the order in which they were added. */
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
