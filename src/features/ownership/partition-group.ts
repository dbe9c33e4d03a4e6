/** Groups of entries that distribute partitions among themselves. */
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {PartitionGrant} from './partition-grant.js';

/** Assigns each partition to at most one member; a change of members increments the group's generation. */
export abstract class PartitionGroup {
	abstract readonly partitionCount: number;

	/**
	 * Joins the group, or renews the membership. A partition moves to its next member only after the former one has joined with
	 * the new generation or its membership has expired. Returns undefined if the store didn't answer.
	 */
	abstract join(group: OwnershipGroupName, member: string, generation: number): Promise<PartitionGrant | undefined>;

	/** Returns the members that hold partitions; undefined if the store didn't answer. Doesn't require membership. */
	abstract holders(group: OwnershipGroupName): Promise<ReadonlySet<string> | undefined>;

	abstract leave(group: OwnershipGroupName, member: string): Promise<void>;
}
