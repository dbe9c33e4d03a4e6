/** How a feature becomes part of the entry daemon. */
import type {DisposableStore} from '../../base/disposable-store.js';
import type {ServiceContainer} from './service-container.js';

/** A feature's plug-in; its contribution file registers one instance of it with the kernel. */
export abstract class Contribution {
	/** The name of the feature's folder. */
	abstract readonly name: string;

	/** Names of the contributions whose services this one asks for. */
	abstract readonly requires: readonly string[];

	/** Builds the feature's parts from services, provides its own, and hands what it owns to the store. */
	abstract activate(services: ServiceContainer, store: DisposableStore): void;
}
