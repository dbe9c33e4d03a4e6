/** Where a task may run, and where it had better. */

/** The same for all tasks of a job. */
export type PlacementConstraints = {
	/** A label that the target must have. */
	readonly label: string | undefined;
	/** The label of the targets near the task's data. */
	readonly nearLabel: string | undefined;
	/** So many times as long it takes on any other target. */
	readonly farFactor: number;
	/** So many tasks of the job at most run on one target at a time. */
	readonly maxTasksPerTarget: number | undefined;
};
