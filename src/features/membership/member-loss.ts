/** The loss of a member. */
import type {Member} from '../../runtime/peers/member.js';

/** `left` if the member handed over its state before it stopped; `dead` otherwise. */
export type MemberLoss = {
	readonly member: Member;
	readonly manner: 'left' | 'dead';
};
