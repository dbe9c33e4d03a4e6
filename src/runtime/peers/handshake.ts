/** Mutual challenge-response authentication of peer connections. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

const nonceBytes = 16;

/** Both sides prove knowledge of the shared key by a keyed hash of the other's nonce, which prevents replay. */
export const handshake = {
	/** Returns a random challenge. */
	nonce(): string {
		return randomBytes(nonceBytes).toString('hex');
	},

	/** Returns the proof for a nonce. The role is part of the hash, which prevents reflection attacks. */
	proof(key: string, role: 'dialer' | 'listener', nonce: string, identity: string): string {
		return createHmac('sha256', key).update(`${role}|${nonce}|${identity}`).digest('hex');
	},

	/** Compares two proofs in constant time. */
	matches(expected: string, given: string): boolean {
		const left = new TextEncoder().encode(expected);
		const right = new TextEncoder().encode(given);
		return left.length === right.length && timingSafeEqual(left, right);
	},
};
