/** Routing configuration published by operators. */
import type {QueueRoute} from './queue-route.js';

/** A complete version of the configuration; higher versions replace lower ones. */
export type RoutingConfiguration = {
	readonly version: number;
	readonly routes: readonly QueueRoute[];
	readonly bodyLimitBytes: number;
};
