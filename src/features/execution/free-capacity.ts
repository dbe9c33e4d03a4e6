/** Free capacity of one target. */
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** The resources that one target of a service has free. */
export type FreeCapacity = {
	readonly service: ServiceName;
	readonly labels: readonly string[];
	readonly room: Resources;
	/** How long the target takes relative to a normal one; absent means 1. */
	readonly slowdown?: number;
};
