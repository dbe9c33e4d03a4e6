/** A snapshot of the instance list. */
import type {Instance} from './instance.js';

/** The listed instances; `readAt` is the monotonic time in milliseconds at which the read started. */
export type InstanceSnapshot = {
	readonly instances: readonly Instance[];
	readonly readAt: number;
};
