/** A job of a benchmark's workload. */

/** Known before the run: when it's sent, where to, and how long its tasks take. Times in milliseconds. */
export type PlannedJob = {
	readonly at: number;
	readonly zone: string;
	/** Position of the entry within its zone. */
	readonly entry: number;
	readonly profile: string;
	readonly runs: readonly number[];
	/** What the caller says that a task takes. */
	readonly declared: number | undefined;
	readonly deadline: number;
	/** When the caller takes the job back, counted from its sending. */
	readonly cancelAfter: number | undefined;
};
