/** An entry that another one makes known. */
import type {Member} from '../../runtime/peers/member.js';

/** `silentMilliseconds` is for how long it hadn't been heard by whoever introduces it. */
export type PeerDescriptor = {readonly member: Member; readonly silentMilliseconds: number};
