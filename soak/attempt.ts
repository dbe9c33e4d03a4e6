/** One sending of a job to one entry, as its caller saw it. */

/** Wall time in milliseconds. `life` numbers the entry's processes, from 1. */
export type Attempt = {
	readonly entry: string;
	readonly life: number;
	readonly sentAt: number;
	endedAt: number | undefined;
	outcome: AttemptOutcome | undefined;
};

/** `broken`: the connection ended without a whole answer; `expired`: the caller stopped waiting; `left`: it hung up before. */
type AttemptOutcome =
	| {readonly kind: 'answer'; readonly status: number; readonly state: string | undefined}
	| {readonly kind: 'broken'; readonly detail: string}
	| {readonly kind: 'expired'}
	| {readonly kind: 'left'};
