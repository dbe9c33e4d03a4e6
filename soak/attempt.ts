/** One request that submits a job to an entry, as recorded by the caller. */

/** Times are wall-clock milliseconds. `life` is the incarnation of the entry process, starting at 1. */
export type Attempt = {
	readonly entry: string;
	readonly life: number;
	readonly sentAt: number;
	endedAt: number | undefined;
	outcome: AttemptOutcome | undefined;
};

/**
 * `broken`: the connection failed before a complete response; `expired`: the caller timed out; `left`: the caller
 * disconnected before its timeout.
 */
type AttemptOutcome =
	| {readonly kind: 'answer'; readonly status: number; readonly state: string | undefined}
	| {readonly kind: 'broken'; readonly detail: string}
	| {readonly kind: 'expired'}
	| {readonly kind: 'left'};
