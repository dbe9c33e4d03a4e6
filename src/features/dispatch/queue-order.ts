/** Order of waiting jobs. */
import type {RunningJob} from './running-job.js';

/** Ranks the jobs that wait for capacity at an entry. */
export abstract class QueueOrder {
	/** The rank of a job at a monotonic time in milliseconds; lower ranks are placed first. */
	abstract rank(job: RunningJob, now: number): number;
}
