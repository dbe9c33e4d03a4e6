/** The extension point by which a feature becomes part of the daemon. */
import type {DisposableStore} from '../../base/disposable-store.js';
import type {ServiceContainer} from './service-container.js';

/** A feature's contribution; its `*.contribution.ts` file registers one instance. */
export abstract class Contribution {
	/** The name of the feature's folder. */
	abstract readonly name: string;

	/** Names of the contributions that must be activated first. */
	abstract readonly requires: readonly string[];

	/** Creates the feature's objects, provides its services, and adds its disposables to the store. */
	abstract activate(services: ServiceContainer, store: DisposableStore): void;
}
