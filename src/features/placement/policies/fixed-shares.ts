/** Baseline: slots divided once and for all. */
import type {MemberId} from '../../../base/member-id.js';
import type {Candidate} from '../candidate.js';
import {Placement} from '../placement.js';
import {placements} from '../placements.js';

/** Gives each entry of the zone an equal share of every target's slots, used or not. */
class FixedShares extends Placement {
	override readonly name = 'fixed-shares';
	override readonly binding = 'late';

	override partitionOf(requester: MemberId): string {
		return requester;
	}

	override choose(candidates: readonly Candidate[], requesters: number): Candidate | undefined {
		let best: Candidate | undefined;
		for (const candidate of candidates) {
			const isWithinShare = candidate.heldByRequester < candidate.slots / Math.max(1, requesters);
			if (candidate.free > 0 && isWithinShare && (best === undefined || candidate.free > best.free)) {
				best = candidate;
			}
		}

		return best;
	}
}

placements.register(new FixedShares());
