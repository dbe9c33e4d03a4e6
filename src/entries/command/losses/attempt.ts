/** One try to run a task, as logs tell it. */

/** Times are those of the lines, in milliseconds since the epoch; what no line told yet is absent. */
export type Attempt = {
	readonly number: number;
	/** Sent to another entry. */
	sentAt?: number;
	/** Ordered from a target. */
	startedAt?: number;
	target?: string;
	/** What the task takes of the target's processors, in thousandths of a core. */
	cpuMillis?: number;
	/** Why it was stopped. */
	stopCause?: string;
	endedAt?: number;
	outcome?: string;
	cause?: string;
};
