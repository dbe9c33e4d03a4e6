/** One fault in the schedule of a soak. */
import type {faultKinds} from './fault-kinds.js';
import type {pauseKinds} from './pause-kinds.js';
import type {suspensionKinds} from './suspension-kinds.js';

/**
 * `at` is in milliseconds from the start of traffic, `duration` in milliseconds. `index` selects the affected entry or
 * worker, modulo their number.
 */
export type PlannedFault = {
	readonly kind: typeof faultKinds[number] | (typeof pauseKinds | typeof suspensionKinds)['pauses' | 'companions'][number];
	readonly at: number;
	readonly duration: number;
	readonly index: number;
};
