/** Counters of a target's stand-in. */

/** Ground truth, counted at the target itself. */
export type TargetCounters = {
	/** Task starts. */
	starts: number;
	/** Starts of a task that was started before on any target of the same process. */
	doubleStarts: number;
	finished: number;
	failed: number;
	/** Requests refused because all slots were in use. */
	overSlots: number;
	/** Connections beyond the limit. */
	overConnections: number;
	refused: number;
	stopped: number;
	stopsAsked: number;
	/** Results whose connection was already closed. */
	unwanted: number;
	usageAsked: number;
	/** Maximum number of slots in use at once. */
	peakSlots: number;
	peakConnections: number;
	busyMilliseconds: number;
};
