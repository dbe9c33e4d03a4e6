/** A job that has not been answered yet. */
import type {JobId} from '../../base/job-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {BestEffortJob} from './best-effort-job.js';
import type {JobOutcome} from './job-outcome.js';
import type {TaskState} from './task-state.js';

/** Answers are useful to callers until this multiple of the objective. */
const lateFactor = 3;

/** The submission that awaits the answer. */
type Submission = {
	/** Monotonic time in milliseconds. */
	readonly receivedAt: number;
	/** Estimated time since the caller's first submission. */
	readonly ageMilliseconds?: number;
	readonly settle: (verdict: Verdict<JobOutcome>) => void;
};

/** Task states and deadlines of a job; times are monotonic, in milliseconds. */
export class RunningJob {
	readonly tasks: readonly TaskState[];
	/** Number of requested starts that were not provably refused; unless it is 0, the job must not be reported as not run. */
	possibleStarts = 0;
	isEnded = false;
	/** Whether the job arrived before any free capacity was known; it is then not refused for missing its objective. */
	isBeforeCapacityKnown = false;
	/** Whether the job waits for runs of its former submissions on other entries to end; its verdict then counts them as possible starts. */
	isHeld = false;
	/** Whether its former submissions were taken over. */
	isTakenOver = false;
	/** The shortest timeout of its submissions, which tells the latest one. */
	latestTimeoutMilliseconds: number;
	/** Whether the latest placement pass left a target free that the job could have had, for the sake of a faster one. */
	hasDeclinedTarget = false;

	#submission: Submission;
	#isLocalityRelaxed: boolean;
	#hasWaitedForLocality = false;

	/** Continues from the task states of an earlier submission if there are any. */
	constructor(
		readonly job: BestEffortJob,
		submission: Submission,
		/** Expected run time of one task, in milliseconds. */
		readonly expectedMilliseconds: number,
		previousTasks?: readonly TaskState[],
	) {
		this.#submission = submission;
		this.latestTimeoutMilliseconds = job.callerTimeoutMilliseconds;
		const {nearLabel, farFactor} = job.shape.place;
		this.#isLocalityRelaxed = nearLabel === undefined || this.receivedAt + (farFactor * expectedMilliseconds) <= this.objectiveAt;
		this.tasks = previousTasks?.length === job.shape.count ? previousTasks : Array.from({length: job.shape.count}, (_, index) => createTask(job.id, index));
		// Tasks of the earlier submission may have run.
		this.possibleStarts = previousTasks === undefined ? 0 : 1;
	}

	get receivedAt(): number {
		return this.#submission.receivedAt;
	}

	/** The submission that receives the answer. */
	get submission(): Submission {
		return this.#submission;
	}

	/** Replaces the submission after the caller submitted the running job again. */
	resubmit(submission: Submission): void {
		this.#submission = submission;
	}

	/** Time by which the answer meets the objective, counted from the caller's first submission. */
	get objectiveAt(): number {
		return this.#firstSubmittedAt + this.objectiveMilliseconds;
	}

	/** Time after which the answer is of no use to the submitter. */
	get answerExpiresAt(): number {
		return Math.min(this.#firstSubmittedAt + (lateFactor * this.objectiveMilliseconds), this.receivedAt + this.job.callerTimeoutMilliseconds);
	}

	/**
	 * Time after which the job is ended. An unstarted job expires when it can no longer meet its objective, so that late jobs
	 * don't delay others under overload. A job that has started, arrived late or before any capacity was known, or waited for
	 * capacity near its data or for a faster target expires when its answer becomes useless. A job without waiting tasks expires
	 * with its caller's timeout.
	 */
	get expiresAt(): number {
		if (!this.hasWaiting) {
			return this.receivedAt + this.job.callerTimeoutMilliseconds;
		}

		const latestStart = this.objectiveAt - this.expectedMilliseconds;
		const isLateAnswerUseful = this.mayHaveRun || latestStart < this.receivedAt || this.#hasWaitedForLocality || this.hasDeclinedTarget || this.isBeforeCapacityKnown;
		return isLateAnswerUseful ? this.answerExpiresAt - this.expectedMilliseconds : latestStart;
	}

	/** Whether tasks may run far from their data: the objective allows it, or can no longer be met near the data. */
	get isLocalityRelaxed(): boolean {
		return this.#isLocalityRelaxed;
	}

	/** Allows targets far from the data after waiting for nearer ones, and keeps the job until a late answer is useless. */
	relaxLocality(): void {
		this.#isLocalityRelaxed = true;
		this.#hasWaitedForLocality = true;
	}

	/** A held job counts as well: its former submissions may run. */
	get mayHaveRun(): boolean {
		return this.possibleStarts > 0 || this.isHeld;
	}

	get waiting(): readonly TaskState[] {
		return this.tasks.filter(state => isWaiting(state));
	}

	get waitingCount(): number {
		let count = 0;
		for (const state of this.tasks) {
			if (isWaiting(state)) {
				count += 1;
			}
		}

		return count;
	}

	get hasWaiting(): boolean {
		for (const state of this.tasks) {
			if (isWaiting(state)) {
				return true;
			}
		}

		return false;
	}

	get #firstSubmittedAt(): number {
		return this.receivedAt - (this.#submission.ageMilliseconds ?? 0);
	}

	/** Target response time from the caller's first submission. */
	get objectiveMilliseconds(): number {
		return (this.job.route.stretch * this.expectedMilliseconds) + this.job.route.slackMilliseconds;
	}

	get isComplete(): boolean {
		return this.tasks.every(state => state.isDone);
	}
}

function isWaiting(state: TaskState): boolean {
	return state.owner === undefined && !state.isDone;
}

function createTask(job: JobId, index: number): TaskState {
	return {
		id: `${job}.0.0.${index}` as TaskId,
		attempt: 1,
		failures: 0,
		owner: undefined,
		handedOverAt: undefined,
		adoptionFence: undefined,
		isDone: false,
		capacityRefusals: 0,
		excludedTargets: new Set<string>(),
	};
}
