/** One kind of job in the model's traffic. */

/** Times in milliseconds. Worth is that of a mean job answered in time. */
export type JobClass = {
	readonly name: string;
	readonly jobsPerSecond: number;
	/** Counts spread around it as the users' do. */
	readonly meanTasks: number;
	readonly taskMilliseconds: number;
	readonly worth: number;
	readonly priority: number;
};
