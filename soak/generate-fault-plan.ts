/** Draws a soak's faults from its seed. */
import {Random} from '../src/base/random.js';
import {faultKinds} from './fault-kinds.js';
import type {PlannedFault} from './planned-fault.js';
import {soakBounds} from './soak-bounds.js';

const quietStartMilliseconds = 2000;
const meanGapMilliseconds = 900;
const shortestMilliseconds = 200;
const longestMilliseconds = 3500;
/** One in so many gaps is none: two faults strike together. */
const togetherOneIn = 4;

/** The same plan for the same seed; faults overlap, and one kind may come in series. */
export function generateFaultPlan(seed: number, milliseconds: number): readonly PlannedFault[] {
	const random = new Random(seed);
	const plan: PlannedFault[] = [];
	const last = milliseconds - soakBounds.quietEnd;
	let at = quietStartMilliseconds;
	while (at < last) {
		const lasts = shortestMilliseconds + random.below(longestMilliseconds - shortestMilliseconds);
		plan.push({
			kind: faultKinds[random.below(faultKinds.length)]!, at, lasts: Math.min(lasts, last - at), index: random.below(1000),
		});
		at += random.below(togetherOneIn) === 0 ? 0 : random.below(2 * meanGapMilliseconds);
	}

	return plan;
}
