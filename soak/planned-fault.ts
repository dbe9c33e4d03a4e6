/** One entry of a soak's plan. */
import type {faultKinds} from './fault-kinds.js';
import type {pauseKinds} from './pause-kinds.js';

/** Times in milliseconds from the start of traffic. `index` picks the entry or worker that it strikes. */
export type PlannedFault = {
	readonly kind: typeof faultKinds[number] | typeof pauseKinds['pauses' | 'companions'][number];
	readonly at: number;
	readonly lasts: number;
	readonly index: number;
};
