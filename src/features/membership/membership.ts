/** The entries that are there. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {MemberLoss} from './member-loss.js';

/** This entry's own view, which may lag behind the truth and differ from its peers' views. */
export abstract class Membership {
	abstract readonly self: Member;

	/** All live members but this entry. */
	abstract readonly peers: readonly Member[];

	/** When the instance list last showed this entry itself (monotonic); none if it never did. */
	abstract readonly lastListedAt: number | undefined;

	abstract readonly onDidJoin: Event<Member>;

	abstract readonly onDidLose: Event<MemberLoss>;

	/** Live members of a zone, this entry included where it's its own zone. */
	abstract membersInZone(zone: AvailabilityZone): readonly Member[];

	abstract findMember(member: MemberId): Member | undefined;

	/** True where an address that the list names has neither answered nor refused yet. */
	abstract hasUnresolvedInstances(zone: AvailabilityZone): boolean;

	/** True where a member gave no sign of life for so long that it may be dead or paused. */
	abstract isUnresponsive(member: MemberId): boolean;

	/** Milliseconds since the last sign of life; none where there never was one, or it's too old to tell anything. */
	abstract millisecondsSinceHeard(member: MemberId): number | undefined;

	/**
	 * True where a member may have taken this entry for silent: it answered no ping that was sent in the time after which
	 * a member counts as silent.
	 */
	abstract isRoundTripOverdue(member: MemberId): boolean;

	/** When a member answered a ping last, counted from the ping's sending; monotonic. */
	abstract lastRoundTripAt(member: MemberId): number | undefined;

	/** Tells all peers that this entry is going and has handed over what it knew. */
	abstract announceLeave(): void;
}
