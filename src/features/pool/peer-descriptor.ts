/** A peer as described by another peer. */
import type {Member} from '../../runtime/peers/member.js';

/** `silentMilliseconds` is the time since the describing entry last received anything from the member. */
export type PeerDescriptor = {readonly member: Member; readonly silentMilliseconds: number};
