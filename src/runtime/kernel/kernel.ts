/** Activation of contributions in dependency order. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {Contribution} from './contribution.js';
import {contributions} from './contributions.js';
import type {ServiceContainer} from './service-container.js';

/** Owns the active contributions' disposables and disposes of them in reverse order of activation. */
export class Kernel implements Disposable {
	readonly #store = new DisposableStore();
	readonly #active = new Set<string>();

	constructor(private readonly services: ServiceContainer) {}

	/** Activates every registered contribution after its dependencies; throws on a missing or circular dependency. */
	activate(): void {
		for (const contribution of contributions.all()) {
			this.#activateContribution(contribution, []);
		}
	}

	dispose(): void {
		this.#store.dispose();
	}

	#activateContribution(contribution: Contribution, path: readonly string[]): void {
		if (this.#active.has(contribution.name)) {
			return;
		}

		if (path.includes(contribution.name)) {
			throw new Error(`circular dependency between contributions: ${[...path, contribution.name].join(' → ')}`);
		}

		for (const required of contribution.requires) {
			this.#activateContribution(contributions.get(required), [...path, contribution.name]);
		}

		contribution.activate(this.services, this.#store);
		this.#active.add(contribution.name);
	}
}
