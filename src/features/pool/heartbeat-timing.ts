/** What two entries expect of each other. */

/** How often heartbeats come, how long the last one lets new tasks be sent, and after what silence an entry is lost. */
export type HeartbeatTiming = {
	readonly periodMilliseconds: number;
	readonly staleAfterMilliseconds: number;
	readonly timeoutMilliseconds: number;
};
