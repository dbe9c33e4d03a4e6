/** A message with its sender. */
import type {Member} from './member.js';
import type {PeerMessage} from './peer-message.js';

/** The sender has proved that it holds the shared key. */
export type ReceivedMessage = {
	readonly from: Member;
	readonly message: PeerMessage;
};
