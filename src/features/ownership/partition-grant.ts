/** Partitions assigned to a group's member. */

/** `generation` serves as the fencing token of the partitions. */
export type PartitionGrant = {
	readonly generation: number;
	readonly partitions: ReadonlySet<number>;
};
