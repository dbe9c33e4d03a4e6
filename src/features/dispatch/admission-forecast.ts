/** Refusal of jobs at arrival. */
import type {Verdict} from '../../base/verdict.js';
import type {JobOutcome} from './job-outcome.js';
import type {RunningJob} from './running-job.js';

/** Decides whether a job that has just arrived is held, and follows the jobs that are. */
export abstract class AdmissionForecast {
	/** Returns the verdict of a job that is refused at its arrival; undefined if it is held. */
	abstract refusalOf(job: RunningJob, now: number): Extract<Verdict<JobOutcome>, {kind: 'notRun'}> | undefined;

	/** Records that the number of waiting tasks of a job has changed. */
	abstract recordWaiting(job: RunningJob): void;

	/** Records that a task of a job is started. */
	abstract recordStart(job: RunningJob, now: number): void;

	/** Records the end of a job. */
	abstract recordEnd(job: RunningJob, verdict: Verdict<JobOutcome>): void;
}
