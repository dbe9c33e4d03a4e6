/** Free room on one target. */
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** What one target of a service could take now. */
export type FreeCapacity = {
	readonly service: ServiceName;
	readonly labels: readonly string[];
	readonly room: Resources;
};
