/** Dependency injection container. */
import type {ServiceKey} from './service-key.js';

/** Holds one instance for each service key. Used only by contribution files and the wiring module. */
export class ServiceContainer {
	readonly #services = new Map<string, unknown>();

	/** Registers a service; throws if the key already has one. */
	provide<Service>(key: ServiceKey<Service>, service: Service): void {
		if (this.#services.has(key.name)) {
			throw new Error(`service ${key.name} is already provided`);
		}

		this.#services.set(key.name, service);
	}

	/** Returns a service; throws if none was provided for the key. */
	get<Service>(key: ServiceKey<Service>): Service {
		if (!this.#services.has(key.name)) {
			throw new Error(`service ${key.name} is requested before it is provided`);
		}

		return this.#services.get(key.name) as Service;
	}
}
