/** The timing of heartbeats between two entries. */

/** A peer gets no new tasks once its last heartbeat is stale, and is considered lost after the timeout. */
export type HeartbeatTiming = {
	readonly periodMilliseconds: number;
	readonly staleAfterMilliseconds: number;
	readonly timeoutMilliseconds: number;
};
