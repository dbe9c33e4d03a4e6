/** Baseline: one target after the other. */
import type {Candidate} from '../candidate.js';
import {Placement} from '../placement.js';
import {placements} from '../placements.js';

/** Binds at arrival to the next target in the order of the list. */
class RoundRobin extends Placement {
	override readonly name = 'round-robin';
	override readonly binding = 'early';
	#next = 0;

	override choose(candidates: readonly Candidate[]): Candidate | undefined {
		this.#next += 1;
		return candidates[this.#next % Math.max(1, candidates.length)];
	}
}

placements.register(new RoundRobin());
