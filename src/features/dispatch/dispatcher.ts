/** Dispatching of jobs. */
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
import type {PauseDetector} from '../../runtime/pause-detector.js';
import type {Handover} from '../execution/handover.js';
import type {Executor} from '../execution/executor.js';
import type {LossHistory} from '../execution/loss-history.js';
import type {MeanRunTimes} from '../placement/mean-run-times.js';
import type {Pool} from '../pool/pool.js';
import type {PoolMessage} from '../pool/pool-message.js';
import {isLaterSubmission} from '../takeovers/is-later-submission.js';
import type {JobTakeover} from '../takeovers/job-takeover.js';
import type {Takeovers} from '../takeovers/takeovers.js';
import type {AdmissionForecast} from './admission-forecast.js';
import type {BestEffortJob} from './best-effort-job.js';
import type {CallerTimeouts} from './caller-timeouts.js';
import {ExpiryTimer} from './expiry-timer.js';
import {JobAdmission} from './job-admission.js';
import {JobCompletion} from './job-completion.js';
import type {JobOutcome} from './job-outcome.js';
import {JobTable} from './job-table.js';
import {OwnerCommands} from './owner-commands.js';
import type {QueueOrder} from './queue-order.js';
import type {SchedulingSettings} from './scheduling-settings.js';
import {RunResults} from './run-results.js';
import {TaskPlacer} from './task-placer.js';
import {uncertainVerdict} from './uncertain-verdict.js';

/** Dependencies of `Dispatcher`. */
type DispatcherDependencies = {
	/** Zone of this entry; remote targets in it are preferred. */
	readonly zone: AvailabilityZone;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly order: QueueOrder;
	readonly scheduling: SchedulingSettings;
	readonly forecast: AdmissionForecast;
	/** The longest lease that a target grants, in milliseconds. */
	readonly leaseMilliseconds: number;
	readonly runTimes: MeanRunTimes;
	readonly timeouts: CallerTimeouts;
	readonly losses: LossHistory;
	readonly takeovers: Takeovers;
	readonly pauses: PauseDetector;
	readonly random: Random;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * Runs jobs on the targets of all entries in the pool. Tasks queue here instead of at targets, which defers the choice of a
 * target until one has free capacity (late binding).
 */
export class Dispatcher implements Disposable {
	readonly #jobs = new JobTable();
	readonly #results: RunResults;
	readonly #placer: TaskPlacer;
	readonly #expiryTimer: ExpiryTimer;
	readonly #ownerCommands: OwnerCommands;
	readonly #completion: JobCompletion;
	readonly #admission: JobAdmission;
	readonly #store = new DisposableStore();
	#hasWaitingTasks = false;
	#isPlacementScheduled = false;
	#isWaitingToResume = false;

	constructor(private readonly dependencies: DispatcherDependencies) {
		this.#expiryTimer = this.#store.add(new ExpiryTimer(this.#jobs, dependencies.clock, () => {
			this.#endExpired();
		}));
		this.#ownerCommands = new OwnerCommands({...dependencies, jobs: this.#jobs});
		const schedulePlacement = () => {
			this.#schedulePlacement();
		};

		this.#placer = this.#store.add(new TaskPlacer({...dependencies, schedulePlacement}));
		this.#completion = new JobCompletion({
			...dependencies, jobs: this.#jobs, ownerCommands: this.#ownerCommands, schedulePlacement,
		});
		this.#admission = new JobAdmission({
			...dependencies, jobs: this.#jobs, completion: this.#completion, schedulePlacement,
		});
		this.#results = this.#createResults(dependencies);
		this.#subscribe();
	}

	/** Demand of waiting tasks, and owners of current runs. */
	get jobs(): Pick<JobTable, 'minimumNeeds' | 'owners' | 'waitingTasks' | 'waitingJobsOf'> {
		return this.#jobs;
	}

	/** Number of jobs that have not been answered. */
	get inFlight(): number {
		return this.#jobs.size;
	}

	/** Runs a job; the token is cancelled when its submitter disconnects. */
	async submit(job: BestEffortJob, token: CancellationToken): Promise<Verdict<JobOutcome>> {
		if (token.isCancellationRequested) {
			return {kind: 'notRun', cause: 'notReady', detail: 'the submitter disconnected'};
		}

		return new Promise(resolve => {
			const now = this.dependencies.clock.now();
			const ageMilliseconds = this.dependencies.timeouts.estimateAge(job.route.queue, job.callerTimeoutMilliseconds, now);
			const submission = {receivedAt: now, ageMilliseconds, settle: resolve};
			this.#admission.admit(job, submission, token);
		});
	}

	/** Ends a running job; returns false if there is none with this id. */
	cancel(id: JobId): boolean {
		const running = this.#jobs.get(id);
		if (running === undefined) {
			return false;
		}

		this.#completion.end(running, uncertainVerdict('stopped', 'cancelled by its submitter'));
		return true;
	}

	/** Ends a job whose submission is older than one that another entry takes over. A later one that wasn't recognised takes that over. */
	yieldJob({job, timeoutMilliseconds, claimant}: JobTakeover): void {
		const running = this.#jobs.get(job);
		if (running !== undefined && isLaterSubmission(timeoutMilliseconds, running.latestTimeoutMilliseconds)) {
			this.dependencies.journal.record('jobYielded', {job, claimant});
			this.#completion.end(running, uncertainVerdict('stopped', 'submitted again through another entry'));
		} else if (running !== undefined && isLaterSubmission(running.latestTimeoutMilliseconds, timeoutMilliseconds)) {
			this.#admission.takeOver(running);
		}
	}

	/** Whether runs that were requested for a job may go on. */
	hasRequestedRuns(id: JobId): boolean {
		return this.#jobs.hasRuns(id, this.dependencies.clock.now() - this.#results.longestUnadoptedMilliseconds);
	}

	isRunning(id: JobId): boolean {
		return this.#jobs.get(id) !== undefined;
	}

	/** Marks runs as handed over until a new owner adopts them or their lease expires. */
	recordHandovers(handovers: readonly Handover[], previousOwner: MemberId): void {
		this.#results.recordHandovers(handovers, previousOwner);
	}

	/** Answers all jobs before the process exits. */
	endAllJobs(): void {
		this.#completion.endAll('draining', 'the entry ends');
	}

	dispose(): void {
		this.#store.dispose();
	}

	#createResults(dependencies: DispatcherDependencies): RunResults {
		return new RunResults({
			...dependencies,
			jobs: this.#jobs,
			listener: {
				onDidFinish: (job, answer) => {
					this.#completion.end(job, {kind: 'answered', answer});
				},
				onDidRequeue: job => {
					dependencies.forecast.recordWaiting(job);
					this.#schedulePlacement();
				},
				onDidLoseRun: (job, state) => {
					this.#completion.endIfBlocked(job, state);
				},
				onDidFindOrphan: (task, attempt, owner) => {
					this.#ownerCommands.stop({task, attempt, owner}, 'nobody waits for it');
				},
			},
		});
	}

	#subscribe(): void {
		const {executor, pool, losses, takeovers, journal} = this.dependencies;
		this.#store.add(executor.onDidReport(({requester, task, attempt, outcome}) => {
			if (requester === pool.self) {
				this.#results.recordOutcome(task, attempt, outcome);
			}
		}));
		this.#store.add(pool.onDidReceive(({from, message}) => {
			this.#receive(from.id, message);
		}));
		this.#store.add(executor.onDidAdopt(({requester, request, fence}) => {
			if (requester === pool.self) {
				this.#results.adopt({...request, fence}, pool.self);
			}
		}));
		this.#store.add(pool.onDidLoseMember(member => {
			this.#completion.endAllOn(member);
		}));
		this.#store.add(pool.onDidStall(cause => {
			journal.record('touchLost', {cause, jobs: this.#jobs.size});
			this.#completion.endAll('notReady', `the entry was out of touch: ${cause}`);
		}));
		this.#store.add(takeovers.onDidFinish(finished => {
			this.#admission.release(finished);
		}));
		this.#store.add(losses.onDidBlockTask(task => {
			const found = this.#jobs.findTask(task);
			if (found !== undefined) {
				this.#completion.endIfBlocked(found.job, found.state);
			}
		}));
		this.#store.add(pool.onDidReconnect(member => {
			void this.#resendCommands(member);
		}));
		this.#store.add(pool.onDidChangeCapacity(() => {
			this.#schedulePlacement();
		}));
		this.#store.add(executor.onDidChangeFreeCapacity(() => {
			this.#schedulePlacement();
		}));
	}

	/** Runs a placement pass, unless the process has just resumed from a pause. */
	#placeWaiting(): void {
		const {pauses} = this.dependencies;
		pauses.check();
		if (pauses.isResuming) {
			void this.#placeAfterPause();
			return;
		}

		const hasWaitingTasks = !this.#placer.placeAll(this.#jobs);
		if (hasWaitingTasks && !this.#hasWaitingTasks) {
			// Other entries report free capacity immediately while they know that tasks wait here.
			this.dependencies.pool.announceDemand();
		}

		this.#hasWaitingTasks = hasWaitingTasks;
	}

	/** Waits for messages that arrived during a pause: the tasks may have been started elsewhere. */
	async #placeAfterPause(): Promise<void> {
		if (this.#isWaitingToResume) {
			return;
		}

		this.#isWaitingToResume = true;
		await this.dependencies.pauses.whenResumed();
		this.#isWaitingToResume = false;
		this.#schedulePlacement();
	}

	/** After a pause, requests wait like placements: the tasks may have been started elsewhere. */
	async #resendCommands(member: MemberId): Promise<void> {
		this.#ownerCommands.resendStops(member);
		await this.dependencies.pauses.whenResumed();
		this.#ownerCommands.resendRequests(member);
	}

	/** Coalesces the capacity changes of one event-loop turn into a single placement pass. */
	#schedulePlacement(): void {
		if (this.#isPlacementScheduled || this.#jobs.size === 0) {
			return;
		}

		this.#isPlacementScheduled = true;
		this.dependencies.clock.defer(() => {
			this.#isPlacementScheduled = false;
			this.#placeWaiting();
			this.#expiryTimer.schedule();
		});
	}

	#receive(from: MemberId, message: PoolMessage): void {
		if (message.kind === 'report') {
			this.#results.recordReport(from, message);
		}

		if (message.kind === 'handover') {
			this.#results.recordHandovers(message.handovers, from);
		}

		if (message.kind === 'adopted' && this.#results.adopt(message, from)) {
			this.dependencies.pool.send(from, {kind: 'adoptionHeard', task: message.task, attempt: message.attempt});
		}
	}

	#endExpired(): void {
		const now = this.dependencies.clock.now();
		for (const job of this.#jobs) {
			this.#results.endUnadopted(job, now);
			this.#completion.endIfExpired(job, now);
		}
	}
}
