/** Default placement policy. */
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/**
 * Prefers targets due for a probe, since only a probe can readmit them, then targets that aren't slow, with the
 * fewest tasks of the same job in their rack, and with the most free slots.
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
