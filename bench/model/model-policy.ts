/** What a policy decides in the model. */
import type {RunningJob} from '../../src/features/dispatch/running-job.js';

/** The pool as an entry knows it. */
type PoolView = {readonly slots: number; readonly waitingWorkMilliseconds: number};

/** Order of waiting jobs, and when a job is refused or given up. */
export abstract class ModelPolicy {
	abstract readonly name: string;

	/** Whether a job is refused as it arrives. */
	refusesAtArrival(_job: RunningJob, _view: PoolView): boolean {
		return false;
	}

	/** After this a job with waiting tasks is given up. */
	giveUpAt(job: RunningJob): number {
		return job.receivedAt + job.job.callerTimeoutMilliseconds;
	}

	/** Lower comes first. */
	abstract rank(job: RunningJob, now: number): number;
}
