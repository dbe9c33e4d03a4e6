/** How jobs of this entry end. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {LossHistory} from '../execution/loss-history.js';
import {uncertainVerdict} from './uncertain-verdict.js';
import type {JobOutcome} from './job-outcome.js';
import type {JobTable} from './job-table.js';
import type {OwnerCommands} from './owner-commands.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** What the conclusion works with. */
type JobCompletionDependencies = {
	readonly jobs: JobTable;
	readonly owners: OwnerCommands;
	readonly losses: LossHistory;
	readonly clock: Clock;
	readonly journal: Journal;
	/** Has waiting tasks placed where they can be. */
	readonly placeSoon: () => void;
};

/** Answers jobs, once each, and decides which are given up: those past their time, on lost owners, or whose tasks may not start. */
export class JobCompletion {
	constructor(private readonly parts: JobCompletionDependencies) {}

	/** Answers a job, and has whatever still runs of it ended; one that is over stays as it was answered. */
	end(job: RunningJob, verdict: Verdict<JobOutcome>): void {
		if (job.isEnded) {
			return;
		}

		job.isEnded = true;
		this.parts.jobs.remove(job, this.parts.clock.now());
		for (const slot of job.tasks) {
			if (slot.owner !== undefined) {
				this.parts.owners.stop({task: slot.id, attempt: slot.attempt, owner: slot.owner}, 'its job is over');
			}
		}

		this.parts.journal.record('jobEnded', {
			job: job.job.id,
			queue: job.job.route.queue,
			verdict: verdict.kind,
			detail: verdict.kind === 'answered' ? verdict.answer : `${verdict.cause}: ${verdict.detail}`,
			tookMilliseconds: Math.round(this.parts.clock.now() - job.receivedAt),
			expectedMilliseconds: Math.round(job.expectedMilliseconds),
		});
		job.submission.settle(verdict);
	}

	/** Answers every job as it stands. */
	endAll(cause: 'draining' | 'notReady', detail: string): void {
		for (const job of this.parts.jobs) {
			this.end(job, job.mayHaveRun ? uncertainVerdict('stopped', detail) : {kind: 'notRun', cause, detail});
		}
	}

	/** Its targets' runs end only when their leases do; until then nothing may start them again, so the job is given up. */
	endAllOn(member: MemberId): void {
		for (const job of this.parts.jobs) {
			if (job.tasks.some(slot => slot.owner === member)) {
				this.end(job, uncertainVerdict('executorLost', `${member} is lost`));
			}
		}
	}

	/** Ends a job that can be of no use any more; one that has waited for room near its data may run far from it from here on. */
	endIfExpired(job: RunningJob, now: number): void {
		if (now <= job.expiresAt) {
			return;
		}

		if (!job.isLocalityRelaxed && job.hasWaiting) {
			job.relaxLocality();
			this.parts.placeSoon();
			return;
		}

		this.end(job, job.mayHaveRun
			? uncertainVerdict('waitExpired', 'not ended in time')
			: {
				kind: 'notRun', cause: 'deadlineUnreachable', detail: 'no room in time', retryAfterMilliseconds: Math.ceil(job.expectedMilliseconds),
			});
	}

	/**
	 * A task that has crashed its targets can't be done, and neither can its job. One that was lost as often with targets of
	 * which nothing is known yet isn't started again, and its caller hears so at once.
	 */
	endIfBlocked(job: RunningJob, slot: TaskState): void {
		const condition = this.parts.losses.conditionOf(slot.id);
		if (condition === 'hopeless') {
			this.end(job, {kind: 'answered', answer: 'failed'});
		} else if (condition === 'suspended' && slot.owner === undefined && !slot.isDone) {
			this.end(job, uncertainVerdict('executorLost', 'its targets are lost'));
		}
	}
}
