/** How a member went away. */
import type {Member} from '../../runtime/peers/member.js';

/** `left` after it handed everything over; `dead` otherwise, with all that only it knew. */
export type MemberLoss = {
	readonly member: Member;
	readonly manner: 'left' | 'dead';
};
