/** Draws the pauses of a soak's entries from its seed, beside its other faults. */
import {Random} from '../src/base/random.js';
import {pauseKinds} from './pause-kinds.js';
import type {PlannedFault} from './planned-fault.js';
import {soakBounds} from './soak-bounds.js';

const quietStartMilliseconds = 2000;
const shortestMilliseconds = 3000;
const meanGapMilliseconds = 2000;
const mostCompanions = 3;
/** What strikes beside a pause may also do so just as the entry goes on. */
const afterMilliseconds = 300;
const shortestCompanionMilliseconds = 200;
const longestCompanionMilliseconds = 3500;
const seedOffset = 2;

/** In series and overlapping; every one is over before the quiet end. */
export function generatePausePlan(seed: number, milliseconds: number, longestMilliseconds: number): readonly PlannedFault[] {
	const random = new Random(seed + seedOffset);
	const plan: PlannedFault[] = [];
	const last = milliseconds - soakBounds.quietEnd;
	const put = (kind: PlannedFault['kind'], at: number, lasts: number) => {
		if (at < last) {
			plan.push({
				kind, at, lasts: Math.min(lasts, last - at), index: random.below(1000),
			});
		}
	};

	for (let at = quietStartMilliseconds; at < last;) {
		const lasts = shortestMilliseconds + random.below(Math.max(1, longestMilliseconds - shortestMilliseconds));
		put(pauseKinds.pauses[random.below(pauseKinds.pauses.length)]!, at, lasts);
		for (let left = random.below(mostCompanions + 1); left > 0; left -= 1) {
			const kind = pauseKinds.companions[random.below(pauseKinds.companions.length)]!;
			put(kind, at + random.below(lasts + afterMilliseconds), shortestCompanionMilliseconds + random.below(longestCompanionMilliseconds - shortestCompanionMilliseconds));
		}

		at += random.below(lasts + (2 * meanGapMilliseconds));
	}

	return plan;
}
