/** An estimate of when a job could start. */

/** When the last task of a job could start, at the earliest, and the figures that this is based on. */
export type StartEstimate = {
	readonly waitMilliseconds: number;
	/** Until all work that waits for the service could have started. */
	readonly clearMilliseconds: number;
	/** Waiting tasks that are ranked before the job. */
	readonly tasksBefore: number;
	readonly coreMillisecondsBefore: number;
	readonly totalCpuMillis: number;
	/** Ends of runs in one second. */
	readonly endedTasks: number;
	/** The zones whose figures were used. */
	readonly zones: number;
	readonly oldestFigureMilliseconds: number;
};
