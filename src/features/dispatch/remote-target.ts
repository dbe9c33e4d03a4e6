/** A target of another entry that could take something now. */
import type {PoolMember} from '../pool/pool-member.js';

/** `share` is the target's room as the entry told it last, less what was sent there since. */
export type RemoteTarget = {
	readonly member: PoolMember;
	readonly target: PoolMember['freeCapacity'][number];
};
