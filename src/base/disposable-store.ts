/** Collection of disposables. */
import type {Disposable} from './disposable.js';

/** Owns disposables and disposes of them together, in reverse order of insertion. */
export class DisposableStore implements Disposable {
	readonly #owned = new Set<Disposable>();
	#disposed = false;

	/** Takes ownership; an item added after disposal is disposed of immediately. */
	add<Owned extends Disposable>(owned: Owned): Owned {
		if (this.#disposed) {
			owned.dispose();
			return owned;
		}

		this.#owned.add(owned);
		return owned;
	}

	/** Disposes of an owned item and removes it. */
	remove(owned: Disposable): void {
		if (this.#owned.delete(owned)) {
			owned.dispose();
		}
	}

	dispose(): void {
		this.#disposed = true;
		const owned = [...this.#owned].reverse();
		this.#owned.clear();
		for (const item of owned) {
			item.dispose();
		}
	}
}
