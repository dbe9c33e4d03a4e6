/** Messaging between entries. */
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';
import type {PeerTraffic} from './peer-traffic.js';
import type {ReceivedMessage} from './received-message.js';

/**
 * Delivers messages at most once and in order per connection. Lost messages are not reported: senders that need a response
 * retransmit. Messages to a previous incarnation of an entry are dropped.
 */
export abstract class PeerNetwork {
	/** The current incarnation of this entry. */
	abstract readonly self: Member;

	/** Traffic statistics since the start. */
	abstract readonly traffic: PeerTraffic;

	/** Fires for every message from an authenticated peer. */
	abstract readonly onDidReceive: Event<ReceivedMessage>;

	/** Fires when a handshake completes with an incarnation that was not known before. */
	abstract readonly onDidDiscover: Event<Member>;

	/** Fires when a member is confirmed dead: its port refuses connections, or a newer incarnation responds there. */
	abstract readonly onDidConfirmDeath: Event<MemberId>;

	/** Fires when an address without a known member refuses connections. */
	abstract readonly onDidRefuseConnection: Event<string>;

	/** Fires when a known member reconnects; messages in flight on the previous connection may be lost. */
	abstract readonly onDidReconnect: Event<Member>;

	/** Sends a message to a member, connecting first if necessary. */
	abstract send(to: Member, message: PeerMessage): void;

	/** Replaces the set of monitored peer addresses, whose connections are kept open and pinged. */
	abstract monitor(peerAddresses: ReadonlySet<string>): void;

	/** Connects to these peer addresses to discover their members; the connections are not kept alive afterwards. */
	abstract discover(peerAddresses: ReadonlySet<string>): void;

	/** Monotonic time of the last frame from a member; undefined if there was none. */
	abstract lastReceivedAt(member: MemberId): number | undefined;

	/** Monotonic time of the first message to a member since its last frame; undefined if there is none. */
	abstract unansweredSince(member: MemberId): number | undefined;

	/** Monotonic time at which the latest message or ping that a member acknowledged was sent; undefined if there is none. */
	abstract lastAcknowledgedAt(member: MemberId): number | undefined;

	/** Takes a new incarnation and closes all connections; peers see the previous incarnation as dead. */
	abstract renewIncarnation(): void;
}
