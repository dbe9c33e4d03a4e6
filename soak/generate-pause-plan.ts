/** Generates the schedule of process pauses or suspensions, and of the faults that accompany them. */
import {Random} from '../src/base/random.js';
import {pauseKinds} from './pause-kinds.js';
import type {PlannedFault} from './planned-fault.js';
import {soakBounds} from './soak-bounds.js';
import type {suspensionKinds} from './suspension-kinds.js';

const faultFreeStartMilliseconds = 2000;
const meanGapMilliseconds = 2000;
const maximumCompanions = 3;
/** A companion fault may start up to this long after the pause ends. */
const companionDelayMilliseconds = 300;
const shortestCompanionMilliseconds = 200;
const longestCompanionMilliseconds = 3500;

/** Deterministic for a seed. Pauses may overlap, and all faults end before the fault-free end of the soak. */
export function generatePausePlan(seed: number, milliseconds: number, longestMilliseconds: number, kinds: typeof pauseKinds | typeof suspensionKinds = pauseKinds): readonly PlannedFault[] {
	const {pauses, companions, shortestMilliseconds, seedOffset} = kinds;
	const random = new Random(seed + seedOffset);
	const plan: PlannedFault[] = [];
	const last = milliseconds - soakBounds.faultFreeEnd;
	const addFault = (kind: PlannedFault['kind'], at: number, duration: number) => {
		if (at < last) {
			plan.push({
				kind, at, duration: Math.min(duration, last - at), index: random.below(1000),
			});
		}
	};

	for (let at = faultFreeStartMilliseconds; at < last;) {
		const duration = shortestMilliseconds + random.below(Math.max(1, longestMilliseconds - shortestMilliseconds));
		addFault(pauses[random.below(pauses.length)]!, at, duration);
		for (let remaining = random.below(maximumCompanions + 1); remaining > 0; remaining -= 1) {
			const kind = companions[random.below(companions.length)]!;
			addFault(kind, at + random.below(duration + companionDelayMilliseconds), shortestCompanionMilliseconds + random.below(longestCompanionMilliseconds - shortestCompanionMilliseconds));
		}

		at += random.below(duration + (2 * meanGapMilliseconds));
	}

	return plan;
}
