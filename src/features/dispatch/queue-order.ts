/** Which waiting job is next. */
import type {RunningJob} from './running-job.js';

/** Orders the jobs that wait for room at an entry. */
export abstract class QueueOrder {
	/** Lower comes first. */
	abstract rank(job: RunningJob, now: number): number;
}
