/** What a target's stand-in knows for certain. */

/** Counted at the target itself, whatever anybody else believes. */
export type TargetCounters = {
	/** Tasks that were begun, each begin counted. */
	starts: number;
	/** Begins of a task that had been begun before on any target of the same process. */
	doubleStarts: number;
	finished: number;
	failed: number;
	/** Requests that came while all slots were taken, and were refused. */
	overSlots: number;
	/** Connections beyond the limit. */
	overConnections: number;
	refused: number;
	stopped: number;
	stopsAsked: number;
	/** Answers whose connection was gone when they were ready. */
	unwanted: number;
	usageAsked: number;
	/** The most slots that were taken at once. */
	peakSlots: number;
	peakConnections: number;
	busyMilliseconds: number;
};
