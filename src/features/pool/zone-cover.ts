/** Assigns zones without entries of their own to entries of other zones. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PoolMember} from './pool-member.js';

/** The properties of this entry that decide the assignment. */
type Self = {readonly id: MemberId; readonly zone: AvailabilityZone; readonly isLeaving: boolean};

/**
 * Returns the zones that this entry has to cover: zones all of whose entries are leaving or gone, for which this one ranks first by
 * rendezvous hashing among all entries that aren't leaving. If two entries disagree for a moment, the zone's group divides the
 * targets between them.
 */
export function zonesToCover(zones: Iterable<AvailabilityZone>, self: Self, members: Iterable<PoolMember>): ReadonlySet<AvailabilityZone> {
	const remaining = [...members].filter(member => !member.isLeaving).map(({member}) => ({id: member.id, zone: member.zone}));
	if (!self.isLeaving) {
		remaining.push({id: self.id, zone: self.zone});
	}

	const occupied = new Set(remaining.map(entry => entry.zone));
	const covered = new Set<AvailabilityZone>();
	for (const zone of new Set(zones)) {
		const [first] = occupied.has(zone) ? [] : rankByKey(zone, remaining, entry => entry.id);
		if (first?.id === self.id) {
			covered.add(zone);
		}
	}

	return covered;
}
