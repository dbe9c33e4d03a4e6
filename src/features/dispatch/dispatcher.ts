/** Jobs of this entry, from submission to answer. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PauseWatch} from '../../runtime/pause-watch.js';
import type {Handover} from '../execution/handover.js';
import type {Executor} from '../execution/executor.js';
import type {LossHistory} from '../execution/loss-history.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {Pool} from '../pool/pool.js';
import type {PoolMessage} from '../pool/pool-message.js';
import type {BestEffortJob} from './best-effort-job.js';
import {uncertainVerdict} from './uncertain-verdict.js';
import {JobAdmission} from './job-admission.js';
import {ExpiryTimer} from './expiry-timer.js';
import {JobCompletion} from './job-completion.js';
import type {JobOutcome} from './job-outcome.js';
import {JobTable} from './job-table.js';
import {OwnerCommands} from './owner-commands.js';
import type {CallerTimeouts} from './caller-timeouts.js';
import type {QueueOrder} from './queue-order.js';
import {RunResults} from './run-results.js';
import {TaskPlacer} from './task-placer.js';

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
	readonly patience: CallerTimeouts;
	readonly losses: LossHistory;
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
	readonly #checks: ExpiryTimer;
	readonly #owners: OwnerCommands;
	readonly #conclusion: JobCompletion;
	readonly #admission: JobAdmission;
	readonly #store = new DisposableStore();
	#isWaiting = false;
	#isPumpDue = false;

	constructor(private readonly parts: DispatcherParts) {
		this.#placer = new TaskPlacer(parts);
		this.#checks = this.#store.add(new ExpiryTimer(this.#jobs, parts.clock, () => {
			this.#check();
		}));
		this.#owners = new OwnerCommands({...parts, jobs: this.#jobs});
		const placeSoon = () => {
			this.#pumpSoon();
		};

		this.#conclusion = new JobCompletion({
			...parts, jobs: this.#jobs, owners: this.#owners, placeSoon,
		});
		this.#admission = new JobAdmission({
			...parts, jobs: this.#jobs, conclusion: this.#conclusion, placeSoon,
		});
		this.#results = this.#resultsOf(parts);
		this.#connect();
	}

	/** What waits for room, for the entries that have it; and who runs something for this one. */
	get jobs(): Pick<JobTable, 'minimumNeeds' | 'owners' | 'waitingTasks' | 'waitingJobsOf'> {
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
			const ageMilliseconds = this.parts.patience.estimateAge(job.route.queue, job.callerTimeoutMilliseconds, now);
			const submission = {receivedAt: now, ageMilliseconds, settle: resolve};
			this.#admission.admit(job, submission, token);
		});
	}

	/** Ends a job that is under way; false where there's none. */
	cancel(id: JobId): boolean {
		const running = this.#jobs.get(id);
		if (running === undefined) {
			return false;
		}

		this.#conclusion.end(running, uncertainVerdict('stopped', 'cancelled by its submitter'));
		return true;
	}

	isRunning(id: JobId): boolean {
		return this.#jobs.get(id) !== undefined;
	}

	/** Runs changed hands: their next owner has to tell, or they have ended with their lease. */
	recordHandovers(handovers: readonly Handover[], former: MemberId): void {
		this.#results.recordHandovers(handovers, former);
	}

	/** Answers every job as it stands; the process is about to end. */
	endAllJobs(): void {
		this.#conclusion.endAll('draining', 'the entry ends');
	}

	dispose(): void {
		this.#store.dispose();
	}

	#resultsOf(parts: DispatcherParts): RunResults {
		return new RunResults({
			...parts,
			jobs: this.#jobs,
			listener: {
				onDidSettle: (job, answer) => {
					this.#conclusion.end(job, {kind: 'answered', answer});
				},
				onDidFree: () => {
					this.#pumpSoon();
				},
				onDidLose: (job, slot) => {
					this.#conclusion.endIfBlocked(job, slot);
				},
				onDidFindUnwanted: (task, attempt, owner) => {
					this.#owners.stop({task, attempt, owner}, 'nobody waits for it');
				},
			},
		});
	}

	#connect(): void {
		const {executor, pool, losses, journal} = this.parts;
		this.#store.add(executor.onDidReport(({requester, task, attempt, outcome}) => {
			if (requester === pool.self) {
				this.#results.recordOutcome(task, attempt, outcome);
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
		this.#store.add(pool.onDidLoseMember(member => {
			this.#conclusion.endAllOn(member);
		}));
		this.#store.add(pool.onDidStall(cause => {
			journal.record('touchLost', {cause, jobs: this.#jobs.size});
			this.#conclusion.endAll('notReady', `the entry was out of touch: ${cause}`);
		}));
		this.#store.add(losses.onDidBlockTask(task => {
			const found = this.#jobs.findTask(task);
			if (found !== undefined) {
				this.#conclusion.endIfBlocked(found.job, found.slot);
			}
		}));
		this.#store.add(pool.onDidReconnect(member => {
			this.#owners.resend(member);
		}));
		this.#store.add(pool.onDidChangeCapacity(() => {
			this.#pumpSoon();
		}));
		this.#store.add(executor.onDidChangeFreeCapacity(() => {
			this.#pumpSoon();
		}));
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
			this.parts.pool.announceDemand();
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

	#receive(from: MemberId, message: PoolMessage): void {
		if (message.kind === 'report') {
			this.#results.recordReport(from, message);
		}

		if (message.kind === 'handover') {
			this.#results.recordHandovers(message.handovers, from);
		}

		if (message.kind === 'adopted' && this.#results.adopt(message.task, message.attempt, from)) {
			this.parts.pool.send(from, {kind: 'adoptionHeard', task: message.task, attempt: message.attempt});
		}
	}

	#check(): void {
		const now = this.parts.clock.now();
		for (const job of this.#jobs) {
			this.#results.endUnadopted(job, now);
			this.#conclusion.endIfExpired(job, now);
		}
	}
}
