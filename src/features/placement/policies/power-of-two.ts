/** Baseline: the better of two. */
import type {Random} from '../../../base/random.js';
import type {Candidate} from '../candidate.js';
import {Placement} from '../placement.js';
import {placements} from '../placements.js';

/** Binds at arrival to the one of two random targets with fewer tasks running and waiting. */
class PowerOfTwo extends Placement {
	override readonly name = 'power-of-two';
	override readonly binding = 'early';

	override choose(candidates: readonly Candidate[], _requesters: number, random: Random): Candidate | undefined {
		const [first, second] = random.sample(candidates, 2);
		if (first === undefined || second === undefined) {
			return first;
		}

		return loadOf(second) < loadOf(first) ? second : first;
	}
}

function loadOf(candidate: Candidate): number {
	return candidate.slots - candidate.free + candidate.bound;
}

placements.register(new PowerOfTwo());
