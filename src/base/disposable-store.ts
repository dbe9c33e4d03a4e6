/** Collects what an owner has to dispose of. */
import type {Disposable} from './disposable.js';

/** Owns any number of disposables and disposes of them together, last one first. */
export class DisposableStore implements Disposable {
	readonly #owned = new Set<Disposable>();
	#disposed = false;

	/** Takes ownership; what is added after disposal is disposed of at once. */
	add<Owned extends Disposable>(owned: Owned): Owned {
		if (this.#disposed) {
			owned.dispose();
			return owned;
		}

		this.#owned.add(owned);
		return owned;
	}

	/** Disposes of one owned item and forgets it. */
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
