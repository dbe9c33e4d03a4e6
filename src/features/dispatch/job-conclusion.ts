/** How jobs of this entry end. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {LossHistory} from '../execution/loss-history.js';
import {doubt} from './doubt.js';
import type {JobOutcome} from './job-outcome.js';
import type {JobTable} from './job-table.js';
import type {OwnerOrders} from './owner-orders.js';
import type {RunningJob} from './running-job.js';
import type {TaskSlot} from './task-slot.js';

/** What the conclusion works with. */
type JobConclusionParts = {
	readonly jobs: JobTable;
	readonly owners: OwnerOrders;
	readonly losses: LossHistory;
	readonly clock: Clock;
	readonly journal: Journal;
	/** Has waiting tasks placed where they can be. */
	readonly placeSoon: () => void;
};

/** Answers jobs, once each, and decides which are given up: those past their time, on lost owners, or whose tasks may not start. */
export class JobConclusion {
	constructor(private readonly parts: JobConclusionParts) {}

	/** Answers a job, and has whatever still runs of it ended; one that is over stays as it was answered. */
	end(job: RunningJob, verdict: Verdict<JobOutcome>): void {
		if (job.isOver) {
			return;
		}

		job.isOver = true;
		this.parts.jobs.remove(job, this.parts.clock.now());
		for (const slot of job.slots) {
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
			this.end(job, job.mayHaveRun ? doubt('stopped', detail) : {kind: 'notRun', cause, detail});
		}
	}

	/** Its targets' runs end only when their leases do; until then nothing may start them again, so the job is given up. */
	endAllOn(member: MemberId): void {
		for (const job of this.parts.jobs) {
			if (job.slots.some(slot => slot.owner === member)) {
				this.end(job, doubt('executorLost', `${member} is lost`));
			}
		}
	}

	/** Ends a job that can be of no use any more; one that has waited for room near its data may run far from it from here on. */
	endIfPast(job: RunningJob, now: number): void {
		if (now <= job.giveUpAt) {
			return;
		}

		if (!job.takesFar && job.hasWaiting) {
			job.takeFar();
			this.parts.placeSoon();
			return;
		}

		this.end(job, job.mayHaveRun
			? doubt('waitExpired', 'not ended in time')
			: {
				kind: 'notRun', cause: 'deadlineUnreachable', detail: 'no room in time', retryAfterMilliseconds: Math.ceil(job.expectedMilliseconds),
			});
	}

	/**
	 * A task that has crashed its targets can't be done, and neither can its job. One that was lost as often with targets of
	 * which nothing is known yet isn't started again, and its caller hears so at once.
	 */
	endIfBarred(job: RunningJob, slot: TaskSlot): void {
		const condition = this.parts.losses.conditionOf(slot.id);
		if (condition === 'hopeless') {
			this.end(job, {kind: 'answered', answer: 'failed'});
		} else if (condition === 'suspended' && slot.owner === undefined && !slot.isDone) {
			this.end(job, doubt('executorLost', 'its targets are lost'));
		}
	}
}
