/** The orders to one owned target, and what runs there. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Disposable} from '../../base/disposable.js';
import type {FencingToken} from '../../base/fencing-token.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {Resources} from '../../base/resources.js';
import type {TaskId} from '../../base/task-id.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {Handover} from './handover.js';
import {LeaseSchedule} from './lease-schedule.js';
import {findOverdueRuns} from './find-overdue-runs.js';
import {RenewalPlan} from './renewal-plan.js';
import {Renewals} from './renewals.js';
import {RunControl} from './run-control.js';
import type {RunRequest} from './run-request.js';
import {RunSettlement} from './run-settlement.js';
import {RunTable} from './run-table.js';
import type {Run} from './run.js';
import {SessionOrders} from './session-orders.js';
import type {SessionParts} from './session-parts.js';
import {slowdownOf} from './slowdown-of.js';
import {StepCounter} from './step-counter.js';
import {UnknownRuns} from './unknown-runs.js';
import {TargetReports} from './target-reports.js';

/**
 * Starts and stops runs on one target, renews their lease and takes their ends. The session is the only one that orders the
 * target, as long as no newer owner was there; what it can't prove to have ended keeps its room.
 */
export class TargetSession implements Disposable {
	readonly #runs: RunTable;
	readonly #orders: SessionOrders;
	readonly #lease: LeaseSchedule;
	readonly #strangers: UnknownRuns;
	readonly #plan: RenewalPlan;
	readonly #settlement: RunSettlement;
	readonly #reports: TargetReports;
	readonly #control: RunControl;
	readonly #renewals: Renewals;
	readonly #steps = new StepCounter();
	readonly #closing = new CancellationSource();
	#isPaused = false;
	#hasOverdue = false;

	constructor(private readonly parts: SessionParts) {
		const {target, fence, leaseMilliseconds, clock} = parts;
		const {token} = this.#closing;
		this.#orders = new SessionOrders(parts, target, fence);
		this.#runs = new RunTable(target.capacity);
		this.#strangers = new UnknownRuns(clock.now());
		this.#lease = new LeaseSchedule(leaseMilliseconds);
		this.#plan = new RenewalPlan(this.#lease, this.#runs, this.#strangers);
		const lasting = {
			...parts, orders: this.#orders, runs: this.#runs, strangers: this.#strangers, lease: this.#lease, plan: this.#plan, steps: this.#steps,
		};
		this.#settlement = new RunSettlement(lasting);
		this.#reports = new TargetReports({...lasting, settlement: this.#settlement}, token);
		const ordering = {
			...lasting,
			settlement: this.#settlement,
			reports: this.#reports,
			onDidFail: (failure: OrderFailure) => {
				this.#finish(failure);
			},
		};
		this.#control = new RunControl(ordering, token);
		this.#renewals = new Renewals(ordering, token);
	}

	get target(): TargetRecord {
		return this.#orders.target;
	}

	get fence(): FencingToken {
		return this.#orders.fence;
	}

	get runs(): Iterable<Run> {
		return this.#runs;
	}

	hasRunOf(task: TaskId): boolean {
		return this.#runs.hasRunOf(task);
	}

	/** Whether new tasks may be started: the target answers, isn't draining, isn't full by its own word, and holds nothing unknown or overdue. */
	get isOpen(): boolean {
		const isOurs = !this.#isClosed && !this.#isPaused && !this.#runs.isFull && this.#plan.isLooked && !this.#strangers.areThere;
		return isOurs && this.isReachable && this.#isDescribed && !this.target.isDraining && !this.#hasOverdue;
	}

	/**
	 * Whether the catalogue's record isn't that of a life before the one that reports. After a start under the same id another
	 * kind of machine may be there: filled by its former capacity and labels it would get tasks that it can't bear or may not run.
	 */
	get #isDescribed(): boolean {
		const [listed, reporting] = [this.target.incarnation, this.#reports.incarnation];
		return listed === undefined || reporting === undefined || listed >= reporting;
	}

	get isReachable(): boolean {
		return this.#plan.isReachable;
	}

	/**
	 * Looks for runs that take much longer than expected. One of them may just be long: the target gets no new tasks until
	 * it has ended. Several, or one that is far over, say that the target works slowly or not at all; those are returned.
	 * Only what the target itself has reported counts: while its answers are lost, runs that have ended seem to go on.
	 */
	findOverdue(): readonly Run[] {
		const {suspects, overdue} = findOverdueRuns(this.#runs, this.#reports.newestAt);
		this.#hasOverdue = suspects.length > 0;
		return overdue;
	}

	/** What is left of the target's capacity. */
	get room(): Resources {
		return this.#runs.room;
	}

	/** Asks what runs there without waiting for the renewal under way. */
	look(): void {
		void this.#reports.look();
	}

	/** Begins to look and to renew. */
	open(): void {
		void this.#renewals.run();
	}

	/** Takes a newer state of the same life, or a newer token. */
	update(target: TargetRecord, fence: FencingToken): void {
		this.#orders.target = target;
		this.#orders.fence = fence;
		this.#runs.resize(target.capacity);
	}

	/** Whether as many tasks of its job run here as may. */
	isFullOfJob({place, task}: RunRequest): boolean {
		return place.maxTasksPerTarget !== undefined && this.#runs.countOfJob(jobOfTask(task)) >= place.maxTasksPerTarget;
	}

	/** Takes the former owner's runs as its own; the next report shows which of them still run. */
	adopt(handover: Handover): void {
		const now = this.parts.clock.now();
		// The former owner may have renewed the lease until it gave its word. Without this, a run that is lost before this
		// owner renews anything would be told as gone at once, and be begun elsewhere beside itself.
		this.#lease.noteRenewal(now);
		for (const {request, requester} of handover.runs) {
			this.#runs.add({
				request, requester, slowdown: slowdownOf(request.place, this.target.labels), state: 'running', startedAt: now, confirmedAtStep: this.#steps.next(), stopConfirmedAtStep: undefined, stopCause: undefined,
			});
		}

		this.#strangers.forget(this.#runs);
	}

	/** Orders a start; the caller has checked that there's room. */
	start(run: Run): void {
		this.#control.start(run);
	}

	/** Has a run ended; its outcome comes once it provably has. */
	stop(task: string, attempt: number, cause: string): void {
		const run = this.#runs.named({task, attempt});
		if (run !== undefined) {
			this.#control.stop(run, cause);
		}
	}

	/**
	 * Stops ordering, so that the next owner can take over. Runs whose start is still under way, or that are being stopped,
	 * aren't handed over: they end with this owner's lease.
	 */
	release(): Handover {
		this.#close();
		const runs = [...this.#runs].filter(run => run.state === 'running');
		for (const run of runs) {
			this.#runs.remove(run);
		}

		this.#settlement.endAllWithLease('released by its owner');
		return {
			target: this.target.id,
			runs: runs.map(({request, requester}) => ({request, requester})),
		};
	}

	/** Stops ordering a target that left the catalogue; its runs are reported once their lease has certainly ended. */
	abandon(): void {
		this.#close();
		this.#settlement.endAllWithLease('the target left');
	}

	/** A start's answer is awaited before a release, so that a run isn't left without an owner. */
	get hasPendingStarts(): boolean {
		return [...this.#runs].some(run => run.state === 'starting');
	}

	/** Takes no new tasks from here on, before a release. */
	pause(): void {
		this.#isPaused = true;
	}

	dispose(): void {
		this.#close();
	}

	get #isClosed(): boolean {
		return this.#closing.token.isCancellationRequested;
	}

	#close(): void {
		this.#closing.cancel();
	}

	#finish({kind, detail}: OrderFailure): void {
		if (this.#isClosed) {
			return;
		}

		this.#close();
		this.parts.journal.record('sessionEnded', {
			target: this.target.id, kind, detail, fence: this.fence, runs: this.#runs.size,
		});
		if (kind === 'replaced') {
			this.#settlement.lose('down', this.#reports.incarnation, [...this.#runs]);
			this.#settlement.endAll(kind);
		} else {
			this.#settlement.endAllWithLease(kind);
		}

		this.parts.listener.onDidEnd(kind === 'fenced' ? 'fenced' : 'replaced');
	}
}
