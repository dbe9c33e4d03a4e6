/** The policy in use. */
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/**
 * Waits for a slot, then takes the fittest target: one that isn't slow, in a rack with fewer tasks of the same job, with
 * the most free slots. A target that is due for a probe gets it first, since nothing else brings it back.
 */
class LateBinding extends PlacementPolicy {
	override readonly name = 'late-binding';
	override readonly binding = 'late';

	override choose(candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
		let best: TargetCandidate | undefined;
		for (const candidate of candidates) {
			if (candidate.freeSlots > 0 && (best === undefined || isBetter(candidate, best))) {
				best = candidate;
			}
		}

		return best;
	}
}

const conditionOrder = {probe: 0, fit: 1, slow: 2};

function isBetter(left: TargetCandidate, right: TargetCandidate): boolean {
	if (left.condition !== right.condition) {
		return conditionOrder[left.condition] < conditionOrder[right.condition];
	}

	if (left.jobTasksInRack !== right.jobTasksInRack) {
		return left.jobTasksInRack < right.jobTasksInRack;
	}

	return left.freeSlots > right.freeSlots;
}

placementPolicies.register(new LateBinding());
