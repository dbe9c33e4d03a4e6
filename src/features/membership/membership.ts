/** The live entries of the fleet. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {MemberLoss} from './member-loss.js';

/** This entry's local view of the fleet, which may be outdated and may differ from the views of its peers. */
export abstract class Membership {
	/** This entry. */
	abstract readonly self: Member;

	/** All live members except this entry. */
	abstract readonly peers: readonly Member[];

	/** When the instance list last contained this entry, in milliseconds of the monotonic clock; undefined if it never has. */
	abstract readonly lastListedAt: number | undefined;

	/** Fires when a member has been discovered. */
	abstract readonly onDidJoin: Event<Member>;

	/** Fires after a member has left or is considered dead. */
	abstract readonly onDidLose: Event<MemberLoss>;

	/** Live members of a zone, including this entry if the zone is its own. */
	abstract membersInZone(zone: AvailabilityZone): readonly Member[];

	/** Returns a live member, or this entry itself. */
	abstract findMember(member: MemberId): Member | undefined;

	/** Whether any listed instance of a zone has neither answered nor refused a connection yet. */
	abstract hasUnresolvedInstances(zone: AvailabilityZone): boolean;

	/** Whether a member has been silent for so long that it may be dead or paused. */
	abstract isUnresponsive(member: MemberId): boolean;

	/** Milliseconds since a member last sent anything; undefined if it never has, or too long ago to be meaningful. */
	abstract millisecondsSinceHeard(member: MemberId): number | undefined;

	/**
	 * Whether a member may consider this entry unresponsive: no ping that was sent within the timeout for unresponsive members has been
	 * answered.
	 */
	abstract isRoundTripOverdue(member: MemberId): boolean;

	/** When the last ping that a member answered was sent, in milliseconds of the monotonic clock. */
	abstract lastRoundTripAt(member: MemberId): number | undefined;

	/** Notifies all peers that this entry is leaving and has handed over its state. */
	abstract announceLeave(): void;
}
