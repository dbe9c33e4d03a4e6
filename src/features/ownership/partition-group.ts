/** Groups of entries that share out partitions. */
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {PartitionGrant} from './partition-grant.js';

/** Each partition has at most one member; a change of members raises the group's generation. */
export abstract class PartitionGroup {
	abstract readonly partitionCount: number;

	/**
	 * Joins, or stays. A partition that a member lost goes to the next one only after the member has joined with the
	 * generation that took it away, or was silent for too long. Returns nothing where the store gave no answer.
	 */
	abstract join(group: OwnershipGroupName, member: string, generation: number): Promise<PartitionGrant | undefined>;

	/** The members that hold partitions, for anybody to see; nothing where the store gave no answer. */
	abstract holders(group: OwnershipGroupName): Promise<ReadonlySet<string> | undefined>;

	abstract leave(group: OwnershipGroupName, member: string): Promise<void>;
}
