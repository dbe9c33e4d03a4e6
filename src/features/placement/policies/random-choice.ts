/** Baseline policy with a random choice. */
import type {Random} from '../../../base/random.js';
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/** Binds on arrival to a random target. */
class RandomChoice extends PlacementPolicy {
	override readonly name = 'random';
	override readonly binding = 'early';

	override choose(candidates: readonly TargetCandidate[], _requesters: number, random: Random): TargetCandidate | undefined {
		return random.sample(candidates, 1)[0];
	}
}

placementPolicies.register(new RandomChoice());
