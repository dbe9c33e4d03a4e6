/** Membership information used by a registrar. */
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';

/** The part of the membership service that the registry depends on. */
export type RegistrarEnvironment = {
	/** Monotonic time in milliseconds at which the instance list last included this entry. */
	readonly listedAt: number | undefined;
	/** The other known live members of the zone. */
	readonly peers: readonly Member[];
	/** Whether a listed entry of the zone has neither replied nor refused the connection yet. */
	readonly hasUnresolvedPeers: boolean;
	/** Whether a member may consider this entry silent. */
	isContactStale(member: MemberId): boolean;
	isSilent(member: MemberId): boolean;
	memberOf(member: MemberId): Member | undefined;
};
