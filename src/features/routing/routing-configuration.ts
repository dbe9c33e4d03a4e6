/** The operators' configuration of queues. */
import type {QueueRoute} from './queue-route.js';

/** One whole version; a higher one replaces it. */
export type RoutingConfiguration = {
	readonly version: number;
	readonly routes: readonly QueueRoute[];
	readonly bodyLimitBytes: number;
};
