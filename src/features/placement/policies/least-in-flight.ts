/** Baseline policy that considers only the requester's own load. */
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/** Binds on arrival to the target with the fewest tasks of the same entry, ignoring the tasks of other entries. */
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
