/** What a caller of the benchmark saw. */

/** The end of one job; `lost` means that no copy of it got any verdict. */
export type JobOutcome = {
	readonly id: string;
	readonly verdict: 'complete' | 'failed' | 'notRun' | 'mayHaveRun' | 'lost';
	readonly status: number;
	/** From the sending of the first copy to the last verdict. */
	readonly milliseconds: number;
	/** Copies that were sent. */
	readonly copies: number;
	readonly isPartial: boolean;
	readonly isCrossed: boolean;
	readonly hasRetryAfter: boolean;
	readonly detail: string;
};
