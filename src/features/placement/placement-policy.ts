/** Policy that chooses a target for a task. */
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {TargetCandidate} from './target-candidate.js';

/**
 * With late binding, a task stays in the zone's queue until a slot is free, and the policy chooses among targets with
 * free slots. With early binding, it chooses among all healthy targets on arrival, and the task waits for that
 * target.
 */
export abstract class PlacementPolicy {
	abstract readonly name: string;

	abstract readonly binding: 'early' | 'late';

	/** Tasks of different partitions don't wait for each other. By default there is a single partition. */
	partitionOf(_requester: MemberId): string {
		return '';
	}

	/** Chooses one of the candidates, if any; undefined leaves the task in the queue. */
	abstract choose(candidates: readonly TargetCandidate[], requesters: number, random: Random): TargetCandidate | undefined;
}
