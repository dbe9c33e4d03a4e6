/** Capacity that an entry waits for. */
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** The smallest need among the waiting tasks of a service. */
export type CapacityDemand = {
	readonly service: ServiceName;
	readonly need: Resources;
};
