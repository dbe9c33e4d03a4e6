/** Baseline policy with a fixed share of the slots for each entry. */
import type {MemberId} from '../../../base/member-id.js';
import type {TargetCandidate} from '../target-candidate.js';
import {PlacementPolicy} from '../placement-policy.js';
import {placementPolicies} from '../placement-policies.js';

/** Assigns each entry of the zone an equal share of every target's slots, whether used or not. */
class FixedShares extends PlacementPolicy {
	override readonly name = 'fixed-shares';
	override readonly binding = 'late';

	override partitionOf(requester: MemberId): string {
		return requester;
	}

	override choose(candidates: readonly TargetCandidate[], requesters: number): TargetCandidate | undefined {
		let best: TargetCandidate | undefined;
		for (const candidate of candidates) {
			const isWithinShare = candidate.heldByRequester < candidate.slots / Math.max(1, requesters);
			if (candidate.freeSlots > 0 && isWithinShare && (best === undefined || candidate.freeSlots > best.freeSlots)) {
				best = candidate;
			}
		}

		return best;
	}
}

placementPolicies.register(new FixedShares());
