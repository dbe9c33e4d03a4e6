/** What a link tells its owner. */
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';

/** Called by links and accepted connections; `onHeard` comes with every frame of a proved peer. */
export type LinkListener = {
	readonly onMet: (member: Member) => void;
	readonly onHeard: (member: Member) => void;
	/** The peer answered a ping that was sent at the given monotonic time. */
	readonly onReached: (member: Member, sentAt: number) => void;
	readonly onMessage: (member: Member, message: PeerMessage) => void;
	/** The port answered that nobody listens there. */
	readonly onRefused: (peerAddress: string) => void;
	/** Someone who doesn't hold the key, or doesn't speak the protocol. */
	readonly onStranger: (detail: string) => void;
};
