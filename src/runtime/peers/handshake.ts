/** The proof that both ends of a peer connection hold the shared key. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

const nonceBytes = 16;

/** Answers the other side's fresh nonce with a keyed hash, so that a recorded handshake can't be used again. */
export const handshake = {
	nonce(): string {
		return randomBytes(nonceBytes).toString('hex');
	},

	/** The role is part of the hash: what one side said can't be sent back to it as the other's proof. */
	proof(key: string, role: 'dialer' | 'listener', nonce: string, identity: string): string {
		return createHmac('sha256', key).update(`${role}|${nonce}|${identity}`).digest('hex');
	},

	matches(expected: string, given: string): boolean {
		const left = new TextEncoder().encode(expected);
		const right = new TextEncoder().encode(given);
		return left.length === right.length && timingSafeEqual(left, right);
	},
};
