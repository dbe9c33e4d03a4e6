/** A target of another entry that could take something now. */
import type {PoolMember} from '../pool/pool-member.js';

/** `share` is the target's room as the entry told it last, less what was sent there since. */
export type OpenShare = {
	readonly member: PoolMember;
	readonly share: PoolMember['freeCapacity'][number];
};
