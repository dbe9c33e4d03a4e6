/** Constraints and preferences for the target of a task. */

/** Shared by all tasks of a job. */
export type PlacementConstraints = {
	/** A label that the target must have. */
	readonly label: string | undefined;
	/** The label of the targets near the task's data. */
	readonly nearLabel: string | undefined;
	/** Factor by which the task takes longer on any other target. */
	readonly farFactor: number;
	/** Maximum number of the job's tasks that run on one target at a time. */
	readonly maxTasksPerTarget: number | undefined;
};
