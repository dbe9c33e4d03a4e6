/** The other entries of this entry's zone. */
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';

/** Those that could hold the arbiter's office in this entry's place, silent or not. */
export function zonePeersOf(membership: Membership): readonly Member[] {
	const {self} = membership;
	return membership.membersInZone(self.zone).filter(member => member.id !== self.id);
}
