/** Baseline policy with round-robin order. */
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/** Binds on arrival to the next target in list order. */
class RoundRobin extends PlacementPolicy {
	override readonly name = 'round-robin';
	override readonly binding = 'early';
	#next = 0;

	override choose(candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
		this.#next += 1;
		return candidates[this.#next % Math.max(1, candidates.length)];
	}
}

placementPolicies.register(new RoundRobin());
