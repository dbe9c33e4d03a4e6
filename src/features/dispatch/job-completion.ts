/** Completion of jobs. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {LossHistory} from '../execution/loss-history.js';
import type {AdmissionForecast} from './admission-forecast.js';
import type {JobOutcome} from './job-outcome.js';
import type {JobTable} from './job-table.js';
import type {OwnerCommands} from './owner-commands.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';
import {uncertainVerdict} from './uncertain-verdict.js';

/** Dependencies of `JobCompletion`. */
type JobCompletionDependencies = {
	readonly jobs: JobTable;
	readonly ownerCommands: OwnerCommands;
	readonly losses: LossHistory;
	readonly forecast: AdmissionForecast;
	readonly clock: Clock;
	readonly journal: Journal;
	/** Schedules a placement pass for waiting tasks. */
	readonly schedulePlacement: () => void;
};

/** Answers each job once, and ends jobs that have expired, lost an owner, or have a task that must not start. */
export class JobCompletion {
	constructor(private readonly dependencies: JobCompletionDependencies) {}

	/** Answers a job and stops its remaining runs; does nothing if it has already ended. */
	end(job: RunningJob, verdict: Verdict<JobOutcome>): void {
		if (job.isEnded) {
			return;
		}

		job.isEnded = true;
		this.dependencies.jobs.remove(job, this.dependencies.clock.now());
		this.dependencies.forecast.recordEnd(job, verdict);
		for (const state of job.tasks) {
			if (state.owner !== undefined) {
				this.dependencies.ownerCommands.stop({task: state.id, attempt: state.attempt, owner: state.owner}, 'its job is over');
			}
		}

		this.dependencies.journal.record('jobEnded', {
			job: job.job.id,
			queue: job.job.route.queue,
			verdict: verdict.kind,
			detail: verdict.kind === 'answered' ? verdict.answer : `${verdict.cause}: ${verdict.detail}`,
			tookMilliseconds: Math.round(this.dependencies.clock.now() - job.receivedAt),
			expectedMilliseconds: Math.round(job.expectedMilliseconds),
		});
		job.submission.settle(verdict);
	}

	/** Ends every job: as not run if none of its tasks can have started, otherwise as possibly run. */
	endAll(cause: 'draining' | 'notReady', detail: string): void {
		for (const job of this.dependencies.jobs) {
			this.end(job, job.mayHaveRun ? uncertainVerdict('stopped', detail) : {kind: 'notRun', cause, detail});
		}
	}

	/** Ends jobs with runs on a lost entry: those tasks can't restart before their leases expire. */
	endAllOn(member: MemberId): void {
		for (const job of this.dependencies.jobs) {
			if (job.tasks.some(state => state.owner === member)) {
				this.end(job, uncertainVerdict('executorLost', `${member} is lost`));
			}
		}
	}

	/** Ends an expired job, or lifts its locality constraint first if it has waited for capacity near its data. */
	endIfExpired(job: RunningJob, now: number): void {
		if (now <= job.expiresAt) {
			return;
		}

		if (!job.isLocalityRelaxed && job.hasWaiting) {
			job.relaxLocality();
			this.dependencies.schedulePlacement();
			return;
		}

		this.end(job, job.mayHaveRun
			? uncertainVerdict('waitExpired', 'not ended in time')
			: {
				kind: 'notRun', cause: 'deadlineUnreachable', detail: 'no room in time', retryAfterMilliseconds: Math.ceil(job.expectedMilliseconds),
			});
	}

	/**
	 * Ends the job if a task must not start again: as failed if the task crashes its targets, and as possibly run while the
	 * state of the lost targets is unknown.
	 */
	endIfBlocked(job: RunningJob, state: TaskState): void {
		const condition = this.dependencies.losses.conditionOf(state.id);
		if (condition === 'hopeless') {
			this.end(job, {kind: 'answered', answer: 'failed'});
		} else if (condition === 'suspended' && state.owner === undefined && !state.isDone) {
			this.end(job, uncertainVerdict('executorLost', 'its targets are lost'));
		}
	}
}
