/** Room that an entry waits for. */
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** The least that one of the waiting tasks of a service needs. */
export type CapacityDemand = {
	readonly service: ServiceName;
	readonly need: Resources;
};
