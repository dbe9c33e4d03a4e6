/** What becomes of the runs of this entry's jobs. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Handover} from '../execution/handover.js';
import type {RunOutcome} from '../execution/run-outcome.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {JobTable} from './job-table.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** The next attempt after a target said that it knows a later one: above those of an earlier submission of the job. */
const attemptStep = 16;
/** A target's clock may be this much slower than ours. */
const leaseDrift = 1.02;
/** For the messages of the former owner and of the next one, also on a connection that's being made anew. */
const adoptionSlackMilliseconds = 300;

/** How an attempt ended, as an entry tells it. */
type RunReport = {readonly task: TaskId; readonly attempt: number; readonly outcome: RunOutcome};

/** What the results work with. */
type RunResultsParts = {
	readonly jobs: JobTable;
	readonly runTimes: MeanRunTimes;
	/** The longest lease that a target grants. */
	readonly leaseMilliseconds: number;
	readonly clock: Clock;
	readonly listener: {
		/** All tasks of a job are done, or one of them can't be. */
		readonly onDidSettle: (job: RunningJob, answer: 'complete' | 'failed') => void;
		/** A task's run is gone, perhaps with its target. */
		readonly onDidLose: (job: RunningJob, slot: TaskState) => void;
		/** A task waits again. */
		readonly onDidFree: () => void;
		/** A run goes on that nobody here waits for. */
		readonly onDidFindUnwanted: (task: TaskId, attempt: number, owner: MemberId) => void;
	};
};

/** Takes the outcomes of runs, and follows runs from one owner to the next. */
export class RunResults {
	constructor(private readonly parts: RunResultsParts) {}

	/**
	 * Takes what an entry tells of an attempt's end. An end that was reached counts whoever tells it. That the attempt doesn't run
	 * can be told only by its owner: another entry may have refused it in an earlier submission, and tell that again.
	 */
	recordReport(from: MemberId, {task, attempt, outcome}: RunReport): void {
		const slot = this.parts.jobs.findTask(task)?.slot ?? this.parts.jobs.findEndedTask(task);
		const isOfOwner = slot?.owner === from || slot?.handedOverAt !== undefined;
		if (isOfOwner || outcome.kind === 'done' || outcome.kind === 'failed') {
			this.recordOutcome(task, attempt, outcome);
		}
	}

	/** Takes how an attempt of a task ended. */
	recordOutcome(task: string, attempt: number, outcome: RunOutcome): void {
		const found = this.parts.jobs.findTask(task);
		if (found === undefined) {
			this.#takeFormer(task, attempt, outcome);
			return;
		}

		const {job, slot} = found;
		if (slot.attempt !== attempt || slot.owner === undefined) {
			return;
		}

		slot.owner = undefined;
		slot.handedOverAt = undefined;
		switch (outcome.kind) {
			case 'done': {
				slot.isDone = true;
				this.parts.runTimes.record(job.job.route.queue, outcome.ranMilliseconds);
				if (job.isComplete) {
					this.parts.listener.onDidSettle(job, 'complete');
				}

				return;
			}

			case 'failed': {
				this.#takeFailure(job, slot, outcome);
				break;
			}

			case 'refused': {
				this.#takeRefusal(job, slot, outcome.cause);
				break;
			}

			case 'gone': {
				slot.attempt += 1;
				slot.excludedTargets.add(outcome.target);
				this.parts.listener.onDidLose(job, slot);
				break;
			}
		}

		this.parts.listener.onDidFree();
	}

	/** A run goes on under another owner; false where nobody here waits for it. */
	adopt(task: TaskId, attempt: number, owner: MemberId): boolean {
		const found = this.parts.jobs.findTask(task);
		if (found?.slot.attempt === attempt && found.slot.owner !== undefined) {
			found.slot.owner = owner;
			found.slot.handedOverAt = undefined;
			return true;
		}

		// The job is over, or another attempt is under way: what was adopted must end.
		this.parts.listener.onDidFindUnwanted(task, attempt, owner);
		return false;
	}

	/**
	 * Runs changed hands: their next owner has to tell, or they have ended with their lease. Where the next owner's word came
	 * first, the former owner's says nothing any more: the run would be counted as ended while it goes on.
	 */
	recordHandovers(handovers: readonly Handover[], former: MemberId): void {
		for (const {request} of handovers.flatMap(handover => handover.runs)) {
			const found = this.parts.jobs.findTask(request.task);
			if (found?.slot.attempt === request.attempt && found.slot.owner === former) {
				found.slot.handedOverAt = this.parts.clock.now();
			}
		}
	}

	/** Nobody renews the lease of a run that nobody adopted, so that it has ended once the lease has. */
	endUnadopted(job: RunningJob, now: number): void {
		const limit = (this.parts.leaseMilliseconds * leaseDrift) + adoptionSlackMilliseconds;
		for (const slot of job.tasks) {
			if (slot.handedOverAt !== undefined && now - slot.handedOverAt > limit) {
				this.recordOutcome(slot.id, slot.attempt, {kind: 'gone', target: '', cause: 'handed over to nobody'});
			}
		}
	}

	/** The end of a run whose job is over here: it counts if the job is submitted again. */
	#takeFormer(task: string, attempt: number, outcome: RunOutcome): void {
		const slot = this.parts.jobs.findEndedTask(task);
		if (slot?.attempt !== attempt || slot.owner === undefined) {
			return;
		}

		slot.owner = undefined;
		slot.handedOverAt = undefined;
		slot.isDone = outcome.kind === 'done';
		slot.attempt += outcome.kind === 'refused' && outcome.cause === 'superseded' ? attemptStep : 1;
	}

	#takeRefusal(job: RunningJob, slot: TaskState, cause: Extract<RunOutcome, {kind: 'refused'}>['cause']): void {
		if (cause === 'superseded') {
			// An earlier submission of the job ran there: this one can't be told as not run.
			slot.attempt += attemptStep;
			return;
		}

		slot.attempt += 1;
		// What an owner calls outdated may have run there in a former epoch.
		job.possibleStarts -= cause === 'outdated' ? 0 : 1;
	}

	#takeFailure(job: RunningJob, slot: TaskState, outcome: Extract<RunOutcome, {kind: 'failed'}>): void {
		// A failure on a target that fails others too says nothing of the task.
		slot.failures += outcome.isTargetSuspect ? 0 : 1;
		slot.attempt += 1;
		slot.excludedTargets.add(outcome.target);
		if (slot.failures >= job.job.route.attempts) {
			this.parts.listener.onDidSettle(job, 'failed');
		}
	}
}
