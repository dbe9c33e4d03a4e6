/** The instance list at one moment. */
import type {Instance} from './instance.js';

/** What the platform said last, and when (monotonic milliseconds) that reading was started. */
export type InstanceSnapshot = {
	readonly instances: readonly Instance[];
	readonly readAt: number;
};
