/** The owner of peer connections. */
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';

/** Callbacks and queries that peer connections use on their owner. */
export type ConnectionListener = {
	/** The peer was authenticated. */
	readonly onHandshakeCompleted: (member: Member) => void;
	/** Called for every frame from an authenticated peer. */
	readonly onFrameReceived: (member: Member) => void;
	/** The latest timestamp received from a peer, on the peer's own clock; 0 before the first. */
	readonly lastStampOf: (member: Member) => number;
	/** Monotonic time at which the latest acknowledged message or ping was sent; 0 if there is none. */
	readonly lastAcknowledgedAt: (member: Member) => number;
	/** The peer acknowledged a message or ping that was sent at the given monotonic time. */
	readonly onAcknowledged: (member: Member, sentAt: number) => void;
	/** A message arrived from an authenticated peer. */
	readonly onMessage: (member: Member, message: PeerMessage & {readonly stamp: number; readonly echo: number}) => void;
	/** The peer's port refused the connection. */
	readonly onConnectionRefused: (peerAddress: string) => void;
	/** The other side speaks another version of the protocol. */
	readonly onVersionDiffers: (version: number, address: string) => void;
	/** The other side doesn't have the shared key or doesn't follow the protocol. */
	readonly onHandshakeFailed: (detail: string) => void;
};
