/** A target of another entry with free capacity. */
import type {PoolMember} from '../pool/pool-member.js';

/** `target.room` is the free capacity last reported by the entry, less the tasks sent since. */
export type RemoteTarget = {
	readonly member: PoolMember;
	readonly target: PoolMember['freeCapacity'][number];
};
