/** Baseline: what one entry alone can see. */
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/** Binds at arrival to the target with the fewest tasks of the same entry, knowing nothing of the other entries'. */
class LeastInFlight extends PlacementPolicy {
	override readonly name = 'least-in-flight';
	override readonly binding = 'early';

	override choose(candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
		let best: TargetCandidate | undefined;
		for (const candidate of candidates) {
			if (best === undefined || candidate.heldByRequester < best.heldByRequester) {
				best = candidate;
			}
		}

		return best;
	}
}

placementPolicies.register(new LeastInFlight());
