/** Outcomes of the jobs of one queue that were accepted in one time slice. */
import type {JobOutcome} from './job-outcome.js';
import type {LossReason} from './loss-reason.js';

/** `counts` are numbers of jobs; `reasons` divides the lost jobs and adds up to their number. */
export type SliceLosses = {
	/** The start of the slice, in milliseconds since the first job. */
	readonly fromMilliseconds: number;
	readonly queue: string;
	readonly counts: Record<JobOutcome, number>;
	readonly reasons: Map<LossReason, number>;
};
