/** Baseline: what one entry alone can see. */
import type {Candidate} from '../candidate.js';
import {Placement} from '../placement.js';
import {placements} from '../placements.js';

/** Binds at arrival to the target with the fewest tasks of the same entry, knowing nothing of the other entries'. */
class LeastInFlight extends Placement {
	override readonly name = 'least-in-flight';
	override readonly binding = 'early';

	override choose(candidates: readonly Candidate[]): Candidate | undefined {
		let best: Candidate | undefined;
		for (const candidate of candidates) {
			if (best === undefined || candidate.heldByRequester < best.heldByRequester) {
				best = candidate;
			}
		}

		return best;
	}
}

placements.register(new LeastInFlight());
