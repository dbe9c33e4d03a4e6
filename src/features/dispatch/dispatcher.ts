/** Jobs of this entry, from submission to answer. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {DoubtCause} from '../../base/doubt-cause.js';
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {TaskId} from '../../base/task-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PauseWatch} from '../../runtime/pause-watch.js';
import type {Handover} from '../execution/handover.js';
import type {Executor} from '../execution/executor.js';
import type {LossBook} from '../execution/loss-book.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {Pool} from '../pool/pool.js';
import type {PoolMessage} from '../pool/pool-message.js';
import type {BestEffortJob} from './best-effort-job.js';
import {JobChecks} from './job-checks.js';
import type {JobOutcome} from './job-outcome.js';
import {JobTable} from './job-table.js';
import type {PatienceBook} from './patience-book.js';
import type {QueueOrder} from './queue-order.js';
import {requestOf} from './request-of.js';
import {RunResults} from './run-results.js';
import {RunningJob} from './running-job.js';
import {TaskPlacer} from './task-placer.js';
import type {TaskSlot} from './task-slot.js';

type OwnedRun = {readonly task: TaskId; readonly attempt: number; readonly owner: MemberId};

/** What the dispatcher works with. */
type DispatcherParts = {
	/** Where this entry is: of other entries' targets those there go first, where there are enough of them. */
	readonly zone: AvailabilityZone;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly order: QueueOrder;
	/** The longest lease that a target grants. */
	readonly leaseMilliseconds: number;
	readonly runTimes: MeanRunTimes;
	readonly patience: PatienceBook;
	readonly losses: LossBook;
	readonly pauses: PauseWatch;
	readonly random: Random;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * Places the tasks of its jobs on the targets of any entry of the pool. A task waits here until some target has room, so
 * that the next one is chosen as late as possible.
 */
export class Dispatcher implements Disposable {
	readonly #jobs = new JobTable();
	readonly #results: RunResults;
	readonly #placer: TaskPlacer;
	readonly #store = new DisposableStore();
	#isWaiting = false;
	/** Whether any target with room was known since the start. */
	#hasSeenRoom = false;
	#isPumpDue = false;
	readonly #checks: JobChecks;

	constructor(private readonly parts: DispatcherParts) {
		const {executor, pool} = parts;
		this.#placer = new TaskPlacer(parts);
		this.#checks = this.#store.add(new JobChecks(this.#jobs, parts.clock, () => {
			this.#check();
		}));
		this.#results = new RunResults({
			...parts,
			jobs: this.#jobs,
			listener: {
				onDidSettle: (job, answer) => {
					this.#end(job, {kind: 'answered', answer});
				},
				onDidFree: () => {
					this.#pumpSoon();
				},
				onDidLose: (job, slot) => {
					this.#endIfBarred(job, slot);
				},
				onDidFindUnwanted: (task, attempt, owner) => {
					this.#stopRun({task, attempt, owner}, 'nobody waits for it');
				},
			},
		});
		this.#store.add(executor.onDidReport(({requester, task, attempt, outcome}) => {
			if (requester === pool.self) {
				this.#results.take(task, attempt, outcome);
			}
		}));
		this.#store.add(pool.onDidReceive(({from, message}) => {
			this.#receive(from.id, message);
		}));
		this.#store.add(executor.onDidAdopt(({requester, request}) => {
			if (requester === pool.self) {
				this.#results.adopt(request.task, request.attempt, pool.self);
			}
		}));
		this.#store.add(pool.onDidLose(member => {
			this.#loseOwner(member);
		}));
		this.#store.add(pool.onDidLoseTouch(cause => {
			parts.journal.record('touchLost', {cause, jobs: this.#jobs.size});
			this.#giveUpAll('notReady', `the entry was out of touch: ${cause}`);
		}));
		this.#store.add(parts.losses.onDidBar(task => {
			const found = this.#jobs.named(task);
			if (found !== undefined) {
				this.#endIfBarred(found.job, found.slot);
			}
		}));
		this.#store.add(pool.onDidReconnect(member => {
			this.#repeatOrders(member);
		}));
		this.#store.add(pool.onDidChangeRoom(() => {
			this.#pumpSoon();
		}));
		this.#store.add(executor.onDidChangeRoom(() => {
			this.#pumpSoon();
		}));
	}

	/** What waits for room, for the entries that have it; and who runs something for this one. */
	get jobs(): Pick<JobTable, 'wanted' | 'owners' | 'waitingTasks' | 'waitingJobsOf'> {
		return this.#jobs;
	}

	get inFlight(): number {
		return this.#jobs.size;
	}

	/** Runs a job; the token is cancelled when its submitter is gone. */
	async submit(job: BestEffortJob, token: CancellationToken): Promise<Verdict<JobOutcome>> {
		if (token.isCancellationRequested) {
			return {kind: 'notRun', cause: 'notReady', detail: 'the submitter is gone'};
		}

		return new Promise(resolve => {
			const now = this.parts.clock.now();
			const ageMilliseconds = this.parts.patience.ageOf(job.route.queue, job.patienceMilliseconds, now);
			const submission = {receivedAt: now, ageMilliseconds, settle: resolve};
			const running = this.#jobs.get(job.id);
			if (running === undefined) {
				this.#accept(job, submission, token);
			} else {
				this.#rejoin(running, submission, token);
			}
		});
	}

	/** Ends a job that is under way; false where there's none. */
	cancel(id: JobId): boolean {
		const running = this.#jobs.get(id);
		if (running === undefined) {
			return false;
		}

		this.#end(running, doubt('stopped', 'cancelled by its submitter'));
		return true;
	}

	isRunning(id: JobId): boolean {
		return this.#jobs.get(id) !== undefined;
	}

	/** Runs changed hands: their next owner has to tell, or they have ended with their lease. */
	noteHandovers(handovers: readonly Handover[], former: MemberId): void {
		this.#results.noteHandovers(handovers, former);
	}

	/** Answers every job as it stands; the process is about to end. */
	giveUp(): void {
		this.#giveUpAll('draining', 'the entry ends');
	}

	dispose(): void {
		this.#store.dispose();
	}

	/** Places what can be placed now, in order. */
	#pump(): void {
		const {pauses} = this.parts;
		pauses.look();
		if (pauses.isWaking) {
			void this.#pumpWhenAwake();
			return;
		}

		const isWaiting = !this.#placer.placeAll(this.#jobs);
		if (isWaiting && !this.#isWaiting) {
			// The others tell of their room at once while they know that somebody waits.
			this.parts.pool.tellWaiting();
		}

		this.#isWaiting = isWaiting;
	}

	/** After a pause the tasks of these jobs may have been begun elsewhere: whether there was one shows in a moment. */
	async #pumpWhenAwake(): Promise<void> {
		await this.parts.pauses.whenAwake();
		this.#pumpSoon();
	}

	/** One report of a target or one batch of messages changes room several times: the queue is gone through once for all. */
	#pumpSoon(): void {
		if (this.#isPumpDue || this.#jobs.size === 0) {
			return;
		}

		this.#isPumpDue = true;
		this.parts.clock.defer(() => {
			this.#isPumpDue = false;
			this.#pump();
			this.#checks.schedule();
		});
	}

	#giveUpAll(cause: 'draining' | 'notReady', detail: string): void {
		for (const job of this.#jobs) {
			this.#end(job, job.mayHaveRun ? doubt('stopped', detail) : {kind: 'notRun', cause, detail});
		}
	}

	#receive(from: MemberId, message: PoolMessage): void {
		if (message.kind === 'report') {
			this.#results.takeReport(from, message);
		}

		if (message.kind === 'handover') {
			this.#results.noteHandovers(message.handovers, from);
		}

		if (message.kind === 'adopted' && this.#results.adopt(message.task, message.attempt, from)) {
			this.parts.pool.send(from, {kind: 'adoptionHeard', task: message.task, attempt: message.attempt});
		}
	}

	#accept(job: BestEffortJob, submission: RunningJob['submission'], token: CancellationToken): void {
		const {runTimes, journal} = this.parts;
		const expected = runTimes.mean(job.route.queue, job.shape.declaredMilliseconds);
		const former = this.#jobs.takeFormer(job.id);
		const running = new RunningJob(job, submission, Math.max(expected, job.shape.declaredMilliseconds), former);
		running.isBeforeRoom = !this.#seesRoom();
		this.#jobs.add(running);
		journal.record('jobAccepted', {
			job: job.id,
			queue: job.route.queue,
			tasks: job.shape.count,
			expectedMilliseconds: Math.round(running.expectedMilliseconds),
			objectiveMilliseconds: Math.round(running.objectiveMilliseconds),
			patienceMilliseconds: job.patienceMilliseconds,
			ageMilliseconds: Math.round(submission.ageMilliseconds ?? 0),
			isResubmitted: former !== undefined,
			isBeforeRoom: running.isBeforeRoom,
		});
		this.#watchSubmitter(running, token);
		if (running.isComplete) {
			this.#end(running, {kind: 'answered', answer: 'complete'});
			return;
		}

		this.#takeLosses(running);
		if (running.isOver) {
			return;
		}

		// What can be of no use any more is told so at once, and takes no room from those that can.
		this.#endIfPast(running, submission.receivedAt);
		this.#pumpSoon();
	}

	/**
	 * For a moment after its start an entry knows of no target: it owns none yet, and the others haven't told of theirs. That
	 * isn't overload. Refused by the rule for that, all that comes in this time would be lost, while most of it could still
	 * be answered, if late, and the targets stand free.
	 */
	#seesRoom(): boolean {
		const {executor, pool} = this.parts;
		this.#hasSeenRoom ||= executor.room.length > 0 || [...pool.members].some(({room}) => room.length > 0);
		return this.#hasSeenRoom;
	}

	/** What other entries have told of the job's tasks: an earlier submission of it has run there. */
	#takeLosses(job: RunningJob): void {
		const {losses} = this.parts;
		if (losses.isEmpty) {
			return;
		}

		for (const slot of job.slots) {
			if (losses.conditionOf(slot.id) !== 'sound') {
				job.orderedStarts = Math.max(1, job.orderedStarts);
				this.#endIfBarred(job, slot);
			}
		}
	}

	/**
	 * A task that has crashed its targets can't be done, and neither can its job. One that was lost as often with targets of
	 * which nothing is known yet isn't started again, and its caller hears so at once.
	 */
	#endIfBarred(job: RunningJob, slot: TaskSlot): void {
		const condition = this.parts.losses.conditionOf(slot.id);
		if (condition === 'hopeless') {
			this.#end(job, {kind: 'answered', answer: 'failed'});
		} else if (condition === 'suspended' && slot.owner === undefined && !slot.isDone) {
			this.#end(job, doubt('executorLost', 'its targets are lost'));
		}
	}

	/** The runs go on: stopping and beginning them again would run each task twice at a time. */
	#rejoin(running: RunningJob, submission: RunningJob['submission'], token: CancellationToken): void {
		running.submission.settle(doubt('stopped', 'submitted again'));
		running.resubmit(submission);
		this.parts.journal.record('jobRejoined', {job: running.job.id, startedTasks: running.orderedStarts});
		this.#watchSubmitter(running, token);
	}

	/** A submitter who is gone ends the job, unless it was submitted again since. */
	#watchSubmitter(running: RunningJob, token: CancellationToken): void {
		const {submission} = running;
		token.onDidRequestCancellation(() => {
			if (running.submission === submission) {
				this.#end(running, doubt('stopped', 'the submitter is gone'));
			}
		});
	}

	/** Its targets' runs end only when their leases do; until then nothing may start them again, so the job is given up. */
	#loseOwner(member: MemberId): void {
		for (const job of this.#jobs) {
			if (job.slots.some(slot => slot.owner === member)) {
				this.#end(job, doubt('executorLost', `${member} is lost`));
			}
		}
	}

	/** What was sent on the former connection may be lost: requests, and stops of jobs that are over. */
	#repeatOrders(member: MemberId): void {
		for (const {id, attempt} of this.#jobs.formerRunsOn(member)) {
			this.#stopRun({task: id, attempt, owner: member}, 'its job is over');
		}

		for (const job of this.#jobs) {
			for (const slot of job.slots) {
				if (slot.owner === member) {
					this.parts.pool.send(member, {kind: 'run', request: requestOf(job, slot)});
				}
			}
		}
	}

	#check(): void {
		const now = this.parts.clock.now();
		for (const job of this.#jobs) {
			this.#results.endUnadopted(job, now);
			this.#endIfPast(job, now);
		}
	}

	#endIfPast(job: RunningJob, now: number): void {
		if (now <= job.giveUpAt) {
			return;
		}

		if (!job.takesFar && job.hasWaiting) {
			job.takeFar();
			this.#pumpSoon();
			return;
		}

		this.#end(job, job.mayHaveRun
			? doubt('waitExpired', 'not ended in time')
			: {
				kind: 'notRun', cause: 'deadlineUnreachable', detail: 'no room in time', retryAfterMilliseconds: Math.ceil(job.expectedMilliseconds),
			});
	}

	#end(job: RunningJob, verdict: Verdict<JobOutcome>): void {
		if (job.isOver) {
			return;
		}

		job.isOver = true;
		this.#jobs.remove(job, this.parts.clock.now());
		for (const slot of job.slots) {
			if (slot.owner !== undefined) {
				this.#stopRun({task: slot.id, attempt: slot.attempt, owner: slot.owner}, 'its job is over');
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

	#stopRun({task, attempt, owner}: OwnedRun, cause: string): void {
		const {executor, pool} = this.parts;
		if (owner === pool.self) {
			executor.stop(task, attempt, cause);
		} else {
			pool.send(owner, {
				kind: 'stop', task, attempt, cause,
			});
		}
	}
}

function doubt(cause: DoubtCause, detail: string): Verdict<JobOutcome> {
	return {kind: 'mayHaveRun', cause, detail};
}
