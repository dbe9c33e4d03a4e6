/** The choice among other entries' targets. */
import type {Random} from '../../base/random.js';
import type {RoomShare} from '../execution/room-share.js';
import type {RunRequest} from '../execution/run-request.js';
import type {PoolMember} from '../pool/pool-member.js';

/** A target of another entry that had room when it was last heard of. */
type Choice = {readonly member: PoolMember; readonly share: RoomShare};

/**
 * Picks one of all targets with room at random: entries that see the same picture would otherwise all send to the same
 * target, and all but one be refused. An entry that wasn't heard since `heardSince` may be gone: what is sent there comes
 * back only when it's taken as lost, which is too late for most tasks.
 */
export function chooseMember(members: Iterable<PoolMember>, request: RunRequest, random: Random, heardSince: number): Choice | undefined {
	const choices: Choice[] = [];
	for (const member of members) {
		const isHeard = member.heardAt >= heardSince;
		for (const share of isHeard ? member.room : []) {
			if (suits(share, request)) {
				choices.push({member, share});
			}
		}
	}

	return choices.length === 0 ? undefined : choices[random.below(choices.length)];
}

function suits(share: RoomShare, request: RunRequest): boolean {
	return share.service === request.service
		&& (request.label === undefined || share.labels.includes(request.label))
		&& request.need.fitsInto(share.room);
}
