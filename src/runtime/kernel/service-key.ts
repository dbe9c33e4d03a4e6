/** Typed keys of services. */

/** Identifies a service by name and carries its type. */
export class ServiceKey<Service> {
	/** Type-level only; has no value at run time. */
	declare readonly service: Service;

	constructor(readonly name: string) {}
}
