/** Activates the registered features in the order of their needs. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {Contribution} from './contribution.js';
import {contributions} from './contributions.js';
import type {ServiceContainer} from './service-container.js';

/** Owns all active features; disposing of it disposes of them, last activated first. */
export class Kernel implements Disposable {
	readonly #store = new DisposableStore();
	readonly #active = new Set<string>();

	constructor(private readonly services: ServiceContainer) {}

	/** Activates every registered contribution once, each after those it requires. */
	activate(): void {
		for (const contribution of contributions.all()) {
			this.#activateOne(contribution, []);
		}
	}

	dispose(): void {
		this.#store.dispose();
	}

	#activateOne(contribution: Contribution, path: readonly string[]): void {
		if (this.#active.has(contribution.name)) {
			return;
		}

		if (path.includes(contribution.name)) {
			throw new Error(`contributions require each other: ${[...path, contribution.name].join(' → ')}`);
		}

		for (const required of contribution.requires) {
			this.#activateOne(contributions.get(required), [...path, contribution.name]);
		}

		contribution.activate(this.services, this.#store);
		this.#active.add(contribution.name);
	}
}
