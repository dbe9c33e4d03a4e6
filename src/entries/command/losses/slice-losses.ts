/** What became of the jobs of one queue that came in one slice of time. */
import type {JobOutcome} from './job-outcome.js';
import type {LossReason} from './loss-reason.js';

/** Counts are jobs; `reasons` divides those that were not in time, and adds up to their number. */
export type SliceLosses = {
	/** The begin of the slice, in milliseconds since the first job. */
	readonly fromMilliseconds: number;
	readonly queue: string;
	readonly counts: Record<JobOutcome, number>;
	readonly reasons: Map<LossReason, number>;
};
