/** Baseline policy with two random choices. */
import type {Random} from '../../../base/random.js';
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/** Binds on arrival to the less loaded of two random targets. */
class PowerOfTwo extends PlacementPolicy {
	override readonly name = 'power-of-two';
	override readonly binding = 'early';

	override choose(candidates: readonly TargetCandidate[], _requesters: number, random: Random): TargetCandidate | undefined {
		const [first, second] = random.sample(candidates, 2);
		if (first === undefined || second === undefined) {
			return first;
		}

		return loadOf(second) < loadOf(first) ? second : first;
	}
}

function loadOf(candidate: TargetCandidate): number {
	return candidate.slots - candidate.freeSlots + candidate.boundTasks;
}

placementPolicies.register(new PowerOfTwo());
