/** Assigns zones without nodes of their own to nodes of other zones. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PoolMember} from './pool-member.js';

/** The properties of this node that decide the assignment. */
type Self = {readonly id: MemberId; readonly zone: AvailabilityZone; readonly isLeaving: boolean};

/**
 * Returns the zones that this node has to cover: zones without a node that stays, for which this one ranks first by rendezvous
 * hashing among all nodes that stay. If two nodes disagree for a moment, the zone's group divides the targets between them.
 */
export function zonesToCover(zones: Iterable<AvailabilityZone>, self: Self, members: Iterable<PoolMember>): ReadonlySet<AvailabilityZone> {
	const remaining = [...members].filter(member => !member.isLeaving).map(({member}) => ({id: member.id, zone: member.zone}));
	if (!self.isLeaving) {
		remaining.push({id: self.id, zone: self.zone});
	}

	const occupied = new Set(remaining.map(node => node.zone));
	const covered = new Set<AvailabilityZone>();
	for (const zone of new Set(zones)) {
		const [first] = occupied.has(zone) ? [] : rankByKey(zone, remaining, node => node.id);
		if (first?.id === self.id) {
			covered.add(zone);
		}
	}

	return covered;
}
