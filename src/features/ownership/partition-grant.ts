/** What a group gives to a member. */

/** The generation serves as fencing token for the partitions. */
export type PartitionGrant = {
	readonly generation: number;
	readonly partitions: ReadonlySet<number>;
};
