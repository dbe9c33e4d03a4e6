/** Other entries of this entry's zone. */
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';

/** Entries that could become arbiter in place of this one, including silent ones. */
export function zonePeersOf(membership: Membership): readonly Member[] {
	const {self} = membership;
	return membership.membersInZone(self.zone).filter(member => member.id !== self.id);
}
