/** One attempt to run a task, as recorded in logs. */

/** Times are the log lines' wall-clock times in milliseconds since the epoch. Fields are absent until a line sets them. */
export type Attempt = {
	readonly number: number;
	/** When it was sent to another entry. */
	sentAt?: number;
	/** When it was started on a target. */
	startedAt?: number;
	target?: string;
	/** The processor share that the task reserves on the target, in thousandths of a core. */
	cpuMillis?: number;
	stopCause?: string;
	endedAt?: number;
	outcome?: string;
	cause?: string;
};
