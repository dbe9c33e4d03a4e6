/** Baseline: any target. */
import type {Random} from '../../../base/random.js';
import type {Candidate} from '../candidate.js';
import {Placement} from '../placement.js';
import {placements} from '../placements.js';

/** Binds at arrival to a target picked at random. */
class RandomChoice extends Placement {
	override readonly name = 'random';
	override readonly binding = 'early';

	override choose(candidates: readonly Candidate[], _requesters: number, random: Random): Candidate | undefined {
		return random.sample(candidates, 1)[0];
	}
}

placements.register(new RandomChoice());
