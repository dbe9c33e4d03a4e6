/** Generates the fault schedule of a soak. */
import {Random} from '../src/base/random.js';
import {faultKinds} from './fault-kinds.js';
import type {PlannedFault} from './planned-fault.js';
import {soakBounds} from './soak-bounds.js';

const faultFreeStartMilliseconds = 2000;
const meanGapMilliseconds = 900;
const shortestMilliseconds = 200;
const longestMilliseconds = 3500;
/** One gap in this many is zero, so that two faults start together. */
const simultaneousOneIn = 4;

/** Deterministic for a seed. Faults may overlap, and a kind may occur several times in a row. */
export function generateFaultPlan(seed: number, milliseconds: number): readonly PlannedFault[] {
	const random = new Random(seed);
	const plan: PlannedFault[] = [];
	const last = milliseconds - soakBounds.faultFreeEnd;
	let at = faultFreeStartMilliseconds;
	while (at < last) {
		const duration = shortestMilliseconds + random.below(longestMilliseconds - shortestMilliseconds);
		plan.push({
			kind: faultKinds[random.below(faultKinds.length)]!, at, duration: Math.min(duration, last - at), index: random.below(1000),
		});
		at += random.below(simultaneousOneIn) === 0 ? 0 : random.below(2 * meanGapMilliseconds);
	}

	return plan;
}
