/** Admits submissions as jobs of this entry. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {LossHistory} from '../execution/loss-history.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {Pool} from '../pool/pool.js';
import type {FinishedTakeover} from '../takeovers/finished-takeover.js';
import type {Takeovers} from '../takeovers/takeovers.js';
import type {AdmissionForecast} from './admission-forecast.js';
import type {BestEffortJob} from './best-effort-job.js';
import type {JobCompletion} from './job-completion.js';
import type {JobTable} from './job-table.js';
import {leastResubmittedAgeMilliseconds} from './least-resubmitted-age.js';
import {RunningJob} from './running-job.js';
import {uncertainVerdict} from './uncertain-verdict.js';

type Submission = RunningJob['submission'];

/** Dependencies of `JobAdmission`. */
type JobAdmissionDependencies = {
	readonly jobs: JobTable;
	readonly completion: JobCompletion;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly runTimes: MeanRunTimes;
	readonly losses: LossHistory;
	readonly takeovers: Takeovers;
	readonly forecast: AdmissionForecast;
	readonly journal: Journal;
	/** Schedules a placement pass for waiting tasks. */
	readonly schedulePlacement: () => void;
};

/** Starts a job at its first submission, attaches resubmissions to the running job, and ends it when its submitter disconnects. */
export class JobAdmission {
	/** Whether free capacity on any target has been reported since the process started. */
	#isCapacityKnown = false;

	constructor(private readonly dependencies: JobAdmissionDependencies) {}

	/** Admits a submission; the token is cancelled when its submitter disconnects. */
	admit(job: BestEffortJob, submission: Submission, token: CancellationToken): void {
		const running = this.dependencies.jobs.get(job.id);
		if (running === undefined) {
			this.#accept(job, submission, token);
		} else {
			this.#rejoin(running, job, {submission, token});
		}
	}

	/** Holds a job until its former submissions have been given up; does nothing if that was done already. */
	takeOver(running: RunningJob): void {
		if (running.isTakenOver) {
			return;
		}

		running.isTakenOver = true;
		running.isHeld = true;
		this.dependencies.takeovers.request({job: running.job.id, timeoutMilliseconds: running.latestTimeoutMilliseconds});
	}

	/** Lets a held job start once its takeover has finished. */
	release({job, mayHaveRun, waitedMilliseconds, unansweredPeers}: FinishedTakeover): void {
		const running = this.dependencies.jobs.get(job);
		if (!running?.isHeld) {
			return;
		}

		running.isHeld = false;
		this.dependencies.journal.record('jobReleased', {
			job, mayHaveRun, waitedMilliseconds: Math.round(waitedMilliseconds), unansweredPeers,
		});
		running.possibleStarts = Math.max(running.possibleStarts, mayHaveRun ? 1 : 0);
		this.dependencies.schedulePlacement();
	}

	#accept(job: BestEffortJob, submission: Submission, token: CancellationToken): void {
		const {runTimes, journal} = this.dependencies;
		const expected = runTimes.expected(job.route.queue, job.shape.declaredMilliseconds);
		const previousTasks = this.dependencies.jobs.takeEnded(job.id);
		const running = new RunningJob(job, submission, expected, previousTasks);
		running.isBeforeCapacityKnown = !this.#checkCapacityKnown();
		this.dependencies.jobs.add(running);
		journal.record('jobAccepted', {
			job: job.id,
			queue: job.route.queue,
			tasks: job.shape.count,
			expectedMilliseconds: Math.round(running.expectedMilliseconds),
			objectiveMilliseconds: Math.round(running.objectiveMilliseconds),
			patienceMilliseconds: job.callerTimeoutMilliseconds,
			ageMilliseconds: Math.round(submission.ageMilliseconds ?? 0),
			isResubmitted: previousTasks !== undefined,
			isBeforeRoom: running.isBeforeCapacityKnown,
		});
		this.#watchSubmitter(running, token);
		if (running.isComplete) {
			this.dependencies.completion.end(running, {kind: 'answered', answer: 'complete'});
			return;
		}

		this.#applyLosses(running);
		if (running.isEnded) {
			return;
		}

		// Refuses a job that can't meet its objective before it takes capacity.
		this.dependencies.completion.endIfExpired(running, submission.receivedAt);
		this.#refuseByForecast(running);
		if (!running.isEnded && (previousTasks !== undefined || (submission.ageMilliseconds ?? 0) >= leastResubmittedAgeMilliseconds)) {
			this.takeOver(running);
		}

		this.dependencies.forecast.recordWaiting(running);
		this.dependencies.schedulePlacement();
	}

	#refuseByForecast(running: RunningJob): void {
		const {completion, forecast} = this.dependencies;
		const refusal = running.isEnded ? undefined : forecast.refusalOf(running, running.receivedAt);
		if (refusal !== undefined) {
			completion.end(running, refusal);
		}
	}

	/** Keeps the current runs: restarting them would run each task twice at once. */
	#rejoin(running: RunningJob, {id, callerTimeoutMilliseconds: timeoutMilliseconds}: BestEffortJob, {submission, token}: {readonly submission: Submission; readonly token: CancellationToken}): void {
		running.submission.settle(uncertainVerdict('stopped', 'submitted again'));
		running.resubmit(submission);
		if (timeoutMilliseconds < running.latestTimeoutMilliseconds) {
			running.latestTimeoutMilliseconds = timeoutMilliseconds;
			this.dependencies.takeovers.request({job: id, timeoutMilliseconds});
		}

		this.dependencies.journal.record('jobRejoined', {job: running.job.id, startedTasks: running.possibleStarts});
		this.#watchSubmitter(running, token);
	}

	/** Ends the job when its submitter disconnects, unless a later submission replaced it. */
	#watchSubmitter(running: RunningJob, token: CancellationToken): void {
		const {submission} = running;
		token.onDidRequestCancellation(() => {
			if (running.submission === submission) {
				this.dependencies.completion.end(running, uncertainVerdict('stopped', 'the submitter disconnected'));
			}
		});
	}

	/**
	 * Shortly after startup an entry knows of no targets, which is not overload. Jobs that arrive before then are exempt from
	 * the overload rule, since the targets may be idle.
	 */
	#checkCapacityKnown(): boolean {
		const {executor, pool} = this.dependencies;
		this.#isCapacityKnown ||= executor.freeCapacity.length > 0 || [...pool.members].some(({freeCapacity}) => freeCapacity.length > 0);
		return this.#isCapacityKnown;
	}

	/** Applies losses of the job's tasks that other entries reported for an earlier submission. */
	#applyLosses(job: RunningJob): void {
		const {losses} = this.dependencies;
		if (losses.isEmpty) {
			return;
		}

		for (const state of job.tasks) {
			if (losses.conditionOf(state.id) !== 'sound') {
				job.possibleStarts = Math.max(1, job.possibleStarts);
				this.dependencies.completion.endIfBlocked(job, state);
			}
		}
	}
}
