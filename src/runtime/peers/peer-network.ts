/** Messages between entries. */
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';
import type {PeerTraffic} from './peer-traffic.js';
import type {ReceivedMessage} from './received-message.js';

/**
 * Delivers messages at most once, in order for each connection, or silently not at all: whoever needs an answer asks
 * for one and sends again. Messages to an earlier life of an entry are dropped.
 */
export abstract class PeerNetwork {
	/** This entry's present life. */
	abstract readonly self: Member;

	abstract readonly traffic: PeerTraffic;

	abstract readonly onDidReceive: Event<ReceivedMessage>;

	/** Fires when a handshake shows a life that wasn't known before. */
	abstract readonly onDidDiscover: Event<Member>;

	/** Fires when a member is proved gone: its port refuses connections, or a newer life answers there. */
	abstract readonly onDidConfirmDeath: Event<MemberId>;

	/** Fires when a listed address refuses connections although no member was ever met there. */
	abstract readonly onDidRefuseConnection: Event<string>;

	/** Fires when a connection to a known member is made anew: what was under way on the old one may be lost. */
	abstract readonly onDidReconnect: Event<Member>;

	abstract send(to: Member, message: PeerMessage): void;

	/** Keeps connections to exactly these peer addresses open and checked by pings, besides those in use. */
	abstract monitor(peerAddresses: ReadonlySet<string>): void;

	/** Dials these peer addresses once, so that their members are met; costs nothing while they aren't used. */
	abstract discover(peerAddresses: ReadonlySet<string>): void;

	/** Monotonic time of the last sign of life from a member; none if it never gave one. */
	abstract lastReceivedAt(member: MemberId): number | undefined;

	/** Since when messages to a member wait for any sign of life from it; none where one came after the latest. */
	abstract unansweredSince(member: MemberId): number | undefined;

	/** When something was sent last that a member answered: it heard of this entry then, or later. Monotonic. */
	abstract lastAcknowledgedAt(member: MemberId): number | undefined;

	/** Takes a new life: peers see the present one as gone. */
	abstract renewIncarnation(): void;
}
