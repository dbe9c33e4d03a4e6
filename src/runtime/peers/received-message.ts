/** A received message and its sender. */
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';

/** A message from an authenticated peer. */
export type ReceivedMessage = {
	readonly from: Member;
	readonly message: PeerMessage;
};
