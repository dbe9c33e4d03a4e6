/** What a link tells its owner. */
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';

/** The owner of links and accepted connections, as they see it; `onHeard` comes with every frame of a proved peer. */
export type ConnectionListener = {
	readonly onHandshakeCompleted: (member: Member) => void;
	readonly onFrameReceived: (member: Member) => void;
	/** The latest time on a peer's own clock that came from it; 0 before the first. */
	readonly lastStampOf: (member: Member) => number;
	/** When something was sent last that a peer answered; 0 for never. */
	readonly lastAcknowledgedAt: (member: Member) => number;
	/** The peer answered something that was sent at the given monotonic time. */
	readonly onAcknowledged: (member: Member, sentAt: number) => void;
	readonly onMessage: (member: Member, message: PeerMessage & {readonly stamp: number; readonly echo: number}) => void;
	/** The port answered that nobody listens there. */
	readonly onConnectionRefused: (peerAddress: string) => void;
	/** Someone who doesn't hold the key, or doesn't speak the protocol. */
	readonly onHandshakeFailed: (detail: string) => void;
};
