/** The connection between an owner and one of its targets. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Disposable} from '../../base/disposable.js';
import type {FencingToken} from '../../base/fencing-token.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {Resources} from '../../base/resources.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {TargetRecord} from '../targets/target-record.js';
import {findOverdueRuns} from './find-overdue-runs.js';
import type {Handover} from './handover.js';
import {LeaseLimit} from './lease-limit.js';
import {LeaseSchedule} from './lease-schedule.js';
import {RenewalPlan} from './renewal-plan.js';
import {Renewals} from './renewals.js';
import type {Run} from './run.js';
import {RunControl} from './run-control.js';
import type {RunRequest} from './run-request.js';
import {RunSettlement} from './run-settlement.js';
import {RunTable} from './run-table.js';
import {SessionOrders} from './session-orders.js';
import type {SessionParts} from './session-parts.js';
import {slowdownOf} from './slowdown-of.js';
import {StepCounter} from './step-counter.js';
import {TargetReports} from './target-reports.js';
import {UnknownRuns} from './unknown-runs.js';

/** Longer pauses end all jobs of a requester; more would withhold the lease from the target's other runs. */
const longestUnreadMilliseconds = 1200;

/**
 * Starts and stops runs on one target, renews their lease and processes their ends. The target accepts orders only from the
 * session with the highest fencing token. A run keeps its capacity reserved until it has provably ended.
 */
export class TargetSession implements Disposable {
	readonly #runs: RunTable;
	readonly #orders: SessionOrders;
	readonly #lease: LeaseSchedule;
	readonly #limit: LeaseLimit;
	readonly #unknownRuns: UnknownRuns;
	readonly #plan: RenewalPlan;
	readonly #settlement: RunSettlement;
	readonly #reports: TargetReports;
	readonly #runControl: RunControl;
	readonly #renewals: Renewals;
	readonly #steps = new StepCounter();
	/** Cancelled when the session is closed. */
	readonly #cancellation = new CancellationSource();
	readonly #disposal = new CancellationSource();
	#isPaused = false;
	#hasOverdue = false;

	constructor(private readonly parts: SessionParts) {
		const {target, fence, leaseMilliseconds, clockOffsets, lastContact, contactAtHandover, clock} = parts;
		const {token} = this.#cancellation;
		this.#orders = new SessionOrders(parts, target, fence);
		this.#runs = new RunTable(target.capacity, parts.runCounts);
		this.#unknownRuns = new UnknownRuns(clock.now());
		this.#lease = new LeaseSchedule(leaseMilliseconds, clockOffsets);
		this.#limit = new LeaseLimit(this.#runs, lastContact, contactAtHandover);
		this.#plan = new RenewalPlan(this.#lease, this.#limit, this.#runs, this.#unknownRuns);
		const sharedParts = {
			...parts, orders: this.#orders, runs: this.#runs, unknownRuns: this.#unknownRuns, lease: this.#lease, limit: this.#limit, plan: this.#plan, steps: this.#steps,
		};
		this.#settlement = new RunSettlement(sharedParts);
		this.#reports = new TargetReports({...sharedParts, settlement: this.#settlement}, token);
		const commandParts = {
			...sharedParts,
			settlement: this.#settlement,
			reports: this.#reports,
			disposal: this.#disposal.token,
			onDidFail: (failure: OrderFailure) => {
				this.#handleFailure(failure);
			},
		};
		this.#runControl = new RunControl(commandParts, token);
		this.#renewals = new Renewals(commandParts, token);
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

	/** Whether there are runs; those of a closed session end with their lease. */
	get hasRuns(): boolean {
		return this.#runs.size > 0;
	}

	/**
	 * Whether new tasks may be started: the target answers, isn't draining, hasn't reported that it is full, has no unknown or
	 * overdue runs, and none that limits its lease too much.
	 */
	get isOpen(): boolean {
		const isAvailable = !this.#isClosed && !this.#isPaused && !this.#runs.isFull && this.#plan.hasReport && !this.#unknownRuns.hasAny;
		const isUsable = isAvailable && this.isReachable && this.#isRecordCurrent && !this.target.isDraining && !this.#hasOverdue;
		return isUsable && this.#limit.allowsStart(this.parts.clock.now(), this.#plan.renewalDueAt);
	}

	/** Whether a run may be started for a requester; one that was silent for too long may be gone, and its request out of date. */
	isOpenFor(requester: MemberId): boolean {
		return this.isOpen && this.#limit.allowsStartFor(requester, this.parts.clock.now(), this.#plan.renewalDueAt);
	}

	/**
	 * Whether the catalogue's record describes the incarnation that reports, or a later one. A target that restarted under the
	 * same id may have another capacity and other labels, so that an outdated record could overload it.
	 */
	get #isRecordCurrent(): boolean {
		const listed = this.target.incarnation;
		const reporting = this.#reports.incarnation;
		return listed === undefined || reporting === undefined || listed >= reporting;
	}

	get isReachable(): boolean {
		return this.#plan.isReachable;
	}

	/**
	 * Returns the runs whose duration indicates a slow or stuck target. While there is a suspect run, the target gets no new
	 * tasks. Durations are measured up to the latest report, since a lost answer makes an ended run appear to continue. The allowance
	 * is the factor by which runs may take longer on this target than on a normal one.
	 */
	findOverdue(allowance: number): readonly Run[] {
		const {suspects, overdue} = findOverdueRuns(this.#runs, this.#reports.latestReportAt, allowance);
		this.#hasOverdue = suspects.length > 0;
		return overdue;
	}

	/** The target's capacity minus the needs of its runs; negative after the capacity has shrunk. */
	get freeCapacity(): Resources {
		return this.#runs.freeCapacity;
	}

	/** Requests a report without waiting for the pending renewal. */
	poll(): void {
		void this.#reports.poll();
	}

	/** Starts the renewal loop. */
	open(): void {
		void this.#renewals.run();
	}

	/** Applies a newer record of the target, or a newer token. */
	update(target: TargetRecord, fence: FencingToken): void {
		this.#orders.target = target;
		this.#orders.fence = fence;
		this.#runs.resize(target.capacity);
	}

	/** Whether the job already has its maximum number of tasks on this target. */
	hasReachedJobLimit({place, task}: RunRequest): boolean {
		return place.maxTasksPerTarget !== undefined && this.#runs.countRunsOfJob(jobOfTask(task)) >= place.maxTasksPerTarget;
	}

	/** Adds the runs handed over by the former owner; the next report shows which of them still run. */
	adopt(handover: Handover): void {
		const now = this.parts.clock.now();
		// The former owner may have renewed the lease up to the handover. Without this, a run lost before the first renewal
		// would be reported as gone at once, and its task would run twice.
		this.#lease.recordRenewal(now);
		for (const {request, requester} of handover.runs) {
			this.#runs.add({
				request,
				requester,
				slowdown: slowdownOf(request.place, this.target.labels),
				isAdopted: true,
				isAcknowledged: false,
				state: 'running',
				startedAt: now,
				confirmedAtStep: this.#steps.next(),
				stopConfirmedAtStep: undefined,
				stopCause: undefined,
				abandonedAt: undefined,
				stopRequestedAt: undefined,
			});
		}

		this.#unknownRuns.removeKnown(this.#runs);
	}

	/** Records that the requester of an adopted run knows its new owner. */
	acknowledgeAdoption(task: string, attempt: number): void {
		const run = this.#runs.get({task, attempt});
		if (run !== undefined) {
			run.isAcknowledged = true;
		}
	}

	/** Sends a start order; the caller has checked the free capacity. */
	start(run: Run): void {
		this.#runControl.start(run);
	}

	/** Stops a run; its outcome is reported once it has provably ended. */
	stop(task: string, attempt: number, cause: string): void {
		const run = this.#runs.get({task, attempt});
		if (run !== undefined) {
			this.#runControl.stop(run, cause);
		}
	}

	/**
	 * Stops a run that nobody waits for any more. Its lease doesn't outlast the requester's last contact by long, less the time for which
	 * the requester didn't read that the caller had disconnected.
	 */
	abandonRun({task, attempt}: {readonly task: string; readonly attempt: number}, cause: string, unreadMilliseconds = 0): void {
		const run = this.#runs.get({task, attempt});
		if (run !== undefined) {
			run.abandonedAt ??= this.#limit.contactOf(run) - this.#unreadMilliseconds(unreadMilliseconds);
			this.#runControl.stop(run, cause);
		}
	}

	/**
	 * Closes the session and returns the runs for the next owner. Runs that are starting or stopping aren't handed over: they
	 * end with this owner's lease, or by a stop.
	 */
	release(): Handover {
		this.#close();
		const runs = [...this.#runs].filter(run => run.state === 'running');
		for (const run of runs) {
			this.#runs.remove(run);
		}

		this.#settlement.endAllAfterLease('released by its owner');
		return {
			target: this.target.id,
			runs: runs.map(({request, requester}) => ({request, requester})),
		};
	}

	/** Closes the session of a target that left the catalogue; its runs are reported as gone once their lease has expired. */
	abandon(): void {
		this.#close();
		this.#settlement.endAllAfterLease('the target left');
	}

	/** Whether a start is unanswered; a release waits for it, so that no run is left without an owner. */
	get hasPendingStarts(): boolean {
		return [...this.#runs].some(run => run.state === 'starting');
	}

	/** Accepts no new tasks from now on. */
	pause(): void {
		this.#isPaused = true;
	}

	dispose(): void {
		this.#close();
		this.#disposal.cancel();
	}

	/** A suspension that this entry didn't notice may have delayed the message that nobody waits for a run. */
	#unreadMilliseconds(statedMilliseconds: number): number {
		const {clockOffsets, clock} = this.parts;
		return Math.min(longestUnreadMilliseconds, Math.max(statedMilliseconds, clockOffsets.readings.recentAdvance(clock.now())));
	}

	get #isClosed(): boolean {
		return this.#cancellation.token.isCancellationRequested;
	}

	#close(): void {
		this.#cancellation.cancel();
	}

	#handleFailure({kind, detail}: OrderFailure): void {
		if (this.#isClosed) {
			return;
		}

		this.#close();
		this.parts.journal.record('sessionEnded', {
			target: this.target.id, kind, detail, fence: this.fence, runs: this.#runs.size,
		});
		if (kind === 'replaced') {
			this.#settlement.reportLost('down', this.#reports.incarnation, [...this.#runs]);
			this.#settlement.endAll(kind);
		} else {
			this.#settlement.endAllAfterLease(kind);
		}

		this.parts.listener.onDidEnd(kind === 'fenced' ? 'fenced' : 'replaced');
	}
}
