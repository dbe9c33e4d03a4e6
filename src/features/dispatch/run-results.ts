/** Results of task runs. */
import type {Clock} from '../../base/clock.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Handover} from '../execution/handover.js';
import type {RunOutcome} from '../execution/run-outcome.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {JobTable} from './job-table.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** Increment after a superseded attempt; exceeds the attempts of an earlier submission of the job. */
const attemptStep = 16;
/** Ratio by which a target's clock may run slower than this one. */
const maximumClockDrift = 1.02;
/** Covers the delivery of handover and adoption messages, including a reconnect. */
const adoptionGraceMilliseconds = 300;

/** An outcome reported by another entry. */
type RunReport = {readonly task: TaskId; readonly attempt: number; readonly outcome: RunOutcome};

/** The owner's token is absent from entries of former versions. */
type RunAdoption = {readonly task: TaskId; readonly attempt: number; readonly fence?: FencingToken | undefined};

/** Dependencies of `RunResults`. */
type RunResultsDependencies = {
	readonly jobs: JobTable;
	readonly runTimes: MeanRunTimes;
	/** The longest lease that a target grants. */
	readonly leaseMilliseconds: number;
	readonly clock: Clock;
	readonly listener: {
		/** All tasks of a job are done, or one used up its attempts. */
		readonly onDidFinish: (job: RunningJob, answer: 'complete' | 'failed') => void;
		/** A run was lost, possibly with its target. */
		readonly onDidLoseRun: (job: RunningJob, state: TaskState) => void;
		/** A task is waiting again. */
		readonly onDidRequeue: (job: RunningJob) => void;
		/** A run was adopted that belongs to no current attempt. */
		readonly onDidFindOrphan: (task: TaskId, attempt: number, owner: MemberId) => void;
	};
};

/** Applies run outcomes to their jobs, and tracks runs across ownership changes. */
export class RunResults {
	constructor(private readonly dependencies: RunResultsDependencies) {}

	/** How long a run may go on after its owner released its target, unless another entry adopts it. */
	get longestUnadoptedMilliseconds(): number {
		return (this.dependencies.leaseMilliseconds * maximumClockDrift) + adoptionGraceMilliseconds;
	}

	/**
	 * Records an outcome reported by another entry. Completions and failures are accepted from any entry. Refusals and losses
	 * are accepted only from the owner, since another entry may repeat a refusal from an earlier submission.
	 */
	recordReport(from: MemberId, {task, attempt, outcome}: RunReport): void {
		const state = this.dependencies.jobs.findTask(task)?.state ?? this.dependencies.jobs.findEndedTask(task);
		const isFromOwner = state?.owner === from || state?.handedOverAt !== undefined;
		if (isFromOwner || outcome.kind === 'done' || outcome.kind === 'failed') {
			this.recordOutcome(task, attempt, outcome);
		}
	}

	/** Records the outcome of an attempt; ignored unless the attempt is the current one. */
	recordOutcome(task: string, attempt: number, outcome: RunOutcome): void {
		const found = this.dependencies.jobs.findTask(task);
		if (found === undefined) {
			this.#recordEndedOutcome(task, attempt, outcome);
			return;
		}

		const {job, state} = found;
		if (state.attempt !== attempt || state.owner === undefined) {
			return;
		}

		state.owner = undefined;
		state.handedOverAt = undefined;
		switch (outcome.kind) {
			case 'done': {
				state.isDone = true;
				this.dependencies.runTimes.record(job.job.route.queue, outcome.ranMilliseconds);
				if (job.isComplete) {
					this.dependencies.listener.onDidFinish(job, 'complete');
				}

				return;
			}

			case 'failed': {
				this.#recordFailure(job, state, outcome);
				break;
			}

			case 'refused': {
				this.#recordRefusal(job, state, outcome.cause);
				break;
			}

			case 'gone': {
				state.attempt += 1;
				state.excludedTargets.add(outcome.target);
				this.dependencies.listener.onDidLoseRun(job, state);
				break;
			}
		}

		this.dependencies.listener.onDidRequeue(job);
	}

	/**
	 * Assigns a run to its new owner; returns false, and reports an orphan, if the attempt is not the current one. Messages of several
	 * owners may be read in any order: a lower token than that of the known owner belongs to one before it.
	 */
	adopt({task, attempt, fence}: RunAdoption, owner: MemberId): boolean {
		const found = this.dependencies.jobs.findTask(task);
		if (found?.state.attempt === attempt && found.state.owner !== undefined) {
			if (fence === undefined || fence >= (found.state.adoptionFence ?? fence)) {
				found.state.owner = owner;
				found.state.handedOverAt = undefined;
				found.state.adoptionFence = fence;
			}

			return true;
		}

		// The job has ended, or another attempt is running: the adopted run must be stopped.
		this.dependencies.listener.onDidFindOrphan(task, attempt, owner);
		return false;
	}

	/**
	 * Marks runs as handed over until the new owner adopts them or their lease expires. Ignores runs that already have a new
	 * owner, since a late notice from the previous one would end a run that is still active.
	 */
	recordHandovers(handovers: readonly Handover[], previousOwner: MemberId): void {
		for (const {request} of handovers.flatMap(handover => handover.runs)) {
			const found = this.dependencies.jobs.findTask(request.task);
			if (found?.state.attempt === request.attempt && found.state.owner === previousOwner) {
				found.state.handedOverAt = this.dependencies.clock.now();
			}
		}
	}

	/** Ends runs that no entry adopted before their lease expired. */
	endUnadopted(job: RunningJob, now: number): void {
		for (const state of job.tasks) {
			if (state.handedOverAt !== undefined && now - state.handedOverAt > this.longestUnadoptedMilliseconds) {
				this.recordOutcome(state.id, state.attempt, {kind: 'gone', target: '', cause: 'handed over to nobody'});
			}
		}
	}

	/** Records the outcome of a run whose job has ended, for a later resubmission. */
	#recordEndedOutcome(task: string, attempt: number, outcome: RunOutcome): void {
		const state = this.dependencies.jobs.findEndedTask(task);
		if (state?.attempt !== attempt || state.owner === undefined) {
			return;
		}

		state.owner = undefined;
		state.handedOverAt = undefined;
		state.isDone = outcome.kind === 'done';
		state.attempt += outcome.kind === 'refused' && outcome.cause === 'superseded' ? attemptStep : 1;
	}

	#recordRefusal(job: RunningJob, state: TaskState, cause: Extract<RunOutcome, {kind: 'refused'}>['cause']): void {
		if (cause === 'superseded') {
			// An earlier submission of the job ran on this target, so the start still counts as possible.
			state.attempt += attemptStep;
			return;
		}

		state.attempt += 1;
		state.capacityRefusals += cause === 'noRoom' ? 1 : 0;
		// An outdated attempt may have run in an earlier epoch.
		job.possibleStarts -= cause === 'outdated' ? 0 : 1;
	}

	#recordFailure(job: RunningJob, state: TaskState, outcome: Extract<RunOutcome, {kind: 'failed'}>): void {
		// Failures on a suspect target do not count against the task.
		state.failures += outcome.isTargetSuspect ? 0 : 1;
		state.attempt += 1;
		state.excludedTargets.add(outcome.target);
		if (state.failures >= job.job.route.attempts) {
			this.dependencies.listener.onDidFinish(job, 'failed');
		}
	}
}
