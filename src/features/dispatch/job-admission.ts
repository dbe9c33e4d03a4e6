/** How submissions become jobs of this entry. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {LossHistory} from '../execution/loss-history.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {Pool} from '../pool/pool.js';
import type {BestEffortJob} from './best-effort-job.js';
import {uncertainVerdict} from './uncertain-verdict.js';
import type {JobCompletion} from './job-completion.js';
import type {JobTable} from './job-table.js';
import {RunningJob} from './running-job.js';

type Submission = RunningJob['submission'];

/** What the admission works with. */
type JobAdmissionParts = {
	readonly jobs: JobTable;
	readonly conclusion: JobCompletion;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly runTimes: MeanRunTimes;
	readonly losses: LossHistory;
	readonly journal: Journal;
	/** Has waiting tasks placed where they can be. */
	readonly placeSoon: () => void;
};

/** Begins a job at its first submission, joins a further one to what runs of it, and follows each until its submitter is gone. */
export class JobAdmission {
	/** Whether any target with room was known since the start. */
	#hasSeenRoom = false;

	constructor(private readonly parts: JobAdmissionParts) {}

	/** Takes a submission; the token is cancelled when its submitter is gone. */
	admit(job: BestEffortJob, submission: Submission, token: CancellationToken): void {
		const running = this.parts.jobs.get(job.id);
		if (running === undefined) {
			this.#accept(job, submission, token);
		} else {
			this.#rejoin(running, submission, token);
		}
	}

	#accept(job: BestEffortJob, submission: Submission, token: CancellationToken): void {
		const {runTimes, journal} = this.parts;
		const expected = runTimes.mean(job.route.queue, job.shape.declaredMilliseconds);
		const former = this.parts.jobs.takeEnded(job.id);
		const running = new RunningJob(job, submission, Math.max(expected, job.shape.declaredMilliseconds), former);
		running.isBeforeCapacityKnown = !this.#seesRoom();
		this.parts.jobs.add(running);
		journal.record('jobAccepted', {
			job: job.id,
			queue: job.route.queue,
			tasks: job.shape.count,
			expectedMilliseconds: Math.round(running.expectedMilliseconds),
			objectiveMilliseconds: Math.round(running.objectiveMilliseconds),
			patienceMilliseconds: job.callerTimeoutMilliseconds,
			ageMilliseconds: Math.round(submission.ageMilliseconds ?? 0),
			isResubmitted: former !== undefined,
			isBeforeRoom: running.isBeforeCapacityKnown,
		});
		this.#watchSubmitter(running, token);
		if (running.isComplete) {
			this.parts.conclusion.end(running, {kind: 'answered', answer: 'complete'});
			return;
		}

		this.#takeLosses(running);
		if (running.isEnded) {
			return;
		}

		// What can be of no use any more is told so at once, and takes no room from those that can.
		this.parts.conclusion.endIfExpired(running, submission.receivedAt);
		this.parts.placeSoon();
	}

	/** The runs go on: stopping and beginning them again would run each task twice at a time. */
	#rejoin(running: RunningJob, submission: Submission, token: CancellationToken): void {
		running.submission.settle(uncertainVerdict('stopped', 'submitted again'));
		running.resubmit(submission);
		this.parts.journal.record('jobRejoined', {job: running.job.id, startedTasks: running.possibleStarts});
		this.#watchSubmitter(running, token);
	}

	/** A submitter who is gone ends the job, unless it was submitted again since. */
	#watchSubmitter(running: RunningJob, token: CancellationToken): void {
		const {submission} = running;
		token.onDidRequestCancellation(() => {
			if (running.submission === submission) {
				this.parts.conclusion.end(running, uncertainVerdict('stopped', 'the submitter is gone'));
			}
		});
	}

	/**
	 * For a moment after its start an entry knows of no target: it owns none yet, and the others haven't told of theirs. That
	 * isn't overload. Refused by the rule for that, all that comes in this time would be lost, while most of it could still
	 * be answered, if late, and the targets stand free.
	 */
	#seesRoom(): boolean {
		const {executor, pool} = this.parts;
		this.#hasSeenRoom ||= executor.freeCapacity.length > 0 || [...pool.members].some(({freeCapacity}) => freeCapacity.length > 0);
		return this.#hasSeenRoom;
	}

	/** What other entries have told of the job's tasks: an earlier submission of it has run there. */
	#takeLosses(job: RunningJob): void {
		const {losses} = this.parts;
		if (losses.isEmpty) {
			return;
		}

		for (const slot of job.tasks) {
			if (losses.conditionOf(slot.id) !== 'sound') {
				job.possibleStarts = Math.max(1, job.possibleStarts);
				this.parts.conclusion.endIfBlocked(job, slot);
			}
		}
	}
}
