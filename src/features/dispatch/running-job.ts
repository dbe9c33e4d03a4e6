/** A job between its submission and its answer. */
import type {JobId} from '../../base/job-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {BestEffortJob} from './best-effort-job.js';
import type {JobOutcome} from './job-outcome.js';
import type {TaskState} from './task-state.js';

/** Who waits for a job since when. */
type Submission = {
	readonly receivedAt: number;
	/** How long before that its caller submitted it first, as far as it's known. */
	readonly ageMilliseconds?: number;
	readonly settle: (verdict: Verdict<JobOutcome>) => void;
};

/** Holds the tasks' states and the times that decide the order; the dispatcher moves it on. */
export class RunningJob {
	readonly tasks: readonly TaskState[];
	/** Starts that were ordered and not provably refused. With any of them it can't be said that the job never ran. */
	possibleStarts = 0;
	isEnded = false;
	/** It came when nobody could know of any room: it's not refused for what it missed by that. */
	isBeforeCapacityKnown = false;

	#submission: Submission;
	#isLocalityRelaxed: boolean;
	#hasWaitedForLocality = false;

	/** With the tasks of a former submission, the job goes on from where they are. */
	constructor(
		readonly job: BestEffortJob,
		submission: Submission,
		/** What one task is expected to take, in milliseconds. */
		readonly expectedMilliseconds: number,
		former?: readonly TaskState[],
	) {
		this.#submission = submission;
		const {nearLabel, farFactor} = job.shape.place;
		this.#isLocalityRelaxed = nearLabel === undefined || this.receivedAt + (farFactor * expectedMilliseconds) <= this.objectiveAt;
		this.tasks = former?.length === job.shape.count ? former : Array.from({length: job.shape.count}, (_, index) => newSlot(job.id, index));
		// It was begun before, so that it can't be told as not run now.
		this.possibleStarts = former === undefined ? 0 : 1;
	}

	get receivedAt(): number {
		return this.#submission.receivedAt;
	}

	/** The submitter whom the answer goes to. */
	get submission(): Submission {
		return this.#submission;
	}

	/** The job was submitted again while it runs: the former submitter isn't there any more, or won't be. */
	resubmit(submission: Submission): void {
		this.#submission = submission;
	}

	/** When the answer is due for the job to be of full worth: callers count from their first submission. */
	get objectiveAt(): number {
		return this.#firstSubmittedAt + this.objectiveMilliseconds;
	}

	/** After this the submitter has no use for the answer. */
	get answerExpiresAt(): number {
		return Math.min(this.#firstSubmittedAt + (lateFactor * this.objectiveMilliseconds), this.receivedAt + this.job.callerTimeoutMilliseconds);
	}

	/**
	 * When to stop trying. A job of which nothing has begun is refused once it would miss its objective: under overload,
	 * jobs that are late anyway would make those behind them late as well. Some go on while their answers are of any use: one
	 * that was late when it came, since it had been lost elsewhere; one that came before any room was known; one that has waited
	 * for room near its data; and one that has begun. One whose tasks all run goes on for as long as its submitter waits.
	 */
	get expiresAt(): number {
		if (!this.hasWaiting) {
			return this.receivedAt + this.job.callerTimeoutMilliseconds;
		}

		const latestStart = this.objectiveAt - this.expectedMilliseconds;
		const isOfUseLate = this.mayHaveRun || latestStart < this.receivedAt || this.#hasWaitedForLocality || this.isBeforeCapacityKnown;
		return isOfUseLate ? this.answerExpiresAt - this.expectedMilliseconds : latestStart;
	}

	/** Whether its tasks may run far from their data: they'd be in time there as well, or can't be in time any more. */
	get isLocalityRelaxed(): boolean {
		return this.#isLocalityRelaxed;
	}

	/** No room near its data came in time: a late answer is still of some use to its submitter. */
	relaxLocality(): void {
		this.#isLocalityRelaxed = true;
		this.#hasWaitedForLocality = true;
	}

	get mayHaveRun(): boolean {
		return this.possibleStarts > 0;
	}

	get waiting(): readonly TaskState[] {
		return this.tasks.filter(slot => slot.owner === undefined && !slot.isDone);
	}

	get hasWaiting(): boolean {
		return this.tasks.some(slot => slot.owner === undefined && !slot.isDone);
	}

	get #firstSubmittedAt(): number {
		return this.receivedAt - (this.#submission.ageMilliseconds ?? 0);
	}

	/** From the submission to the time when the answer is due. */
	get objectiveMilliseconds(): number {
		return (this.job.route.stretch * this.expectedMilliseconds) + this.job.route.slackMilliseconds;
	}

	get isComplete(): boolean {
		return this.tasks.every(slot => slot.isDone);
	}
}

function newSlot(job: JobId, index: number): TaskState {
	return {
		id: `${job}.0.0.${index}` as TaskId, attempt: 1, failures: 0, owner: undefined, handedOverAt: undefined, isDone: false, excludedTargets: new Set<string>(),
	};
}

/** Answers up to three objectives late still have some worth to the submitters, by their own statement. */
const lateFactor = 3;
