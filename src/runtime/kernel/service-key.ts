/** Typed names of services. */

/** Names one service of the container; the type parameter is what the container hands out for it. */
export class ServiceKey<Service> {
	/** Only for the compiler: ties the key to its service. */
	declare readonly service: Service;

	constructor(readonly name: string) {}
}
