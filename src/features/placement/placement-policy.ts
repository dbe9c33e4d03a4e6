/** The policy that picks a target for a task. */
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {TargetCandidate} from './target-candidate.js';

/**
 * Late binding leaves a task in the zone's queue until a slot is free, and picks among targets with free slots; early
 * binding picks at arrival among all fit targets, and the task waits there.
 */
export abstract class PlacementPolicy {
	abstract readonly name: string;

	abstract readonly binding: 'early' | 'late';

	/** Tasks in different partitions don't wait for each other; one partition unless a policy divides the slots. */
	partitionOf(_requester: MemberId): string {
		return '';
	}

	/** Picks one of the candidates, or none to let the task wait; there may be no candidates. */
	abstract choose(candidates: readonly TargetCandidate[], requesters: number, random: Random): TargetCandidate | undefined;
}
