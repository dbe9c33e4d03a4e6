/** The services that contributions hand to the constructors of their parts. */
import type {ServiceKey} from './service-key.js';

/** Holds one instance for each service key. Only contribution files and the wiring module ask it. */
export class ServiceContainer {
	readonly #services = new Map<string, unknown>();

	/** Registers a service; a second one under the same key is a defect of the wiring. */
	provide<Service>(key: ServiceKey<Service>, service: Service): void {
		if (this.#services.has(key.name)) {
			throw new Error(`service ${key.name} is provided twice`);
		}

		this.#services.set(key.name, service);
	}

	/** Returns a service; asking for one that nobody provided is a defect of the wiring. */
	get<Service>(key: ServiceKey<Service>): Service {
		if (!this.#services.has(key.name)) {
			throw new Error(`service ${key.name} is asked for before anything provides it`);
		}

		return this.#services.get(key.name) as Service;
	}
}
