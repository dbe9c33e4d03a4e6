/** Which zones need an entry of another zone. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PoolMember} from './pool-member.js';

/** What this entry knows of itself. */
type Self = {readonly id: MemberId; readonly zone: AvailabilityZone; readonly isLeaving: boolean};

/**
 * The zones that this entry has to cover: those without an entry that stays, for which this one is the first by rendezvous
 * hashing among all that stay. Two entries may disagree for a moment; the zone's group then shares its targets out.
 */
export function zonesToCover(zones: Iterable<AvailabilityZone>, self: Self, members: Iterable<PoolMember>): ReadonlySet<AvailabilityZone> {
	const staying = [...members].filter(member => !member.isLeaving).map(({member}) => ({id: member.id, zone: member.zone}));
	if (!self.isLeaving) {
		staying.push({id: self.id, zone: self.zone});
	}

	const staffed = new Set(staying.map(entry => entry.zone));
	const covered = new Set<AvailabilityZone>();
	for (const zone of new Set(zones)) {
		const [first] = staffed.has(zone) ? [] : rankByKey(zone, staying, entry => entry.id);
		if (first?.id === self.id) {
			covered.add(zone);
		}
	}

	return covered;
}
