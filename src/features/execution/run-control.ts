/** Start and stop of the runs on one target. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {StartReply} from '../targets/start-reply.js';
import type {LeaseLimit} from './lease-limit.js';
import type {LeaseSchedule} from './lease-schedule.js';
import type {Run} from './run.js';
import {runKeyOf} from './run-key-of.js';
import type {RunSettlement} from './run-settlement.js';
import type {RunTable} from './run-table.js';
import type {SessionOrders} from './session-orders.js';
import type {StepCounter} from './step-counter.js';
import type {TargetReports} from './target-reports.js';

/** Delay after a failed stop before the next one; the task can't start elsewhere before one is accepted. */
const stopRetryMilliseconds = 40;
/**
 * Delay after a stop without an answer before the next one, which is sent beside it on another connection. At most two stops
 * of a run are pending, since an order's time limit is at most twice as long.
 */
const stopRepeatMilliseconds = 75;

/** Dependencies of the run control. */
type RunControlParts = {
	readonly runs: RunTable;
	readonly orders: SessionOrders;
	readonly lease: LeaseSchedule;
	readonly limit: LeaseLimit;
	readonly reports: TargetReports;
	readonly settlement: RunSettlement;
	readonly steps: StepCounter;
	readonly clock: Clock;
	readonly journal: Journal;
	/** Cancelled once stops are given up as well. */
	readonly disposal: CancellationToken;
	/** Called when the target no longer accepts orders with this token or at this address. */
	readonly onDidFail: (failure: OrderFailure) => void;
};

/**
 * Sends starts and stops until each is answered or settled by a report. Once the token is cancelled only stops are sent, until
 * their runs have ended: the target's next owner doesn't know these runs, and the target checks the fencing token.
 */
export class RunControl {
	/** Whether the target rejected the token or is another incarnation; it accepts no further orders. */
	#isRejected = false;

	constructor(private readonly parts: RunControlParts, private readonly token: CancellationToken) {}

	/** Sends a start order; the caller has checked the free capacity. */
	start(run: Run): void {
		this.parts.runs.add(run);
		void this.#sendStart(run);
	}

	/** Stops a run; its outcome is reported once it has provably ended. */
	stop(run: Run, cause: string): void {
		if (run.state === 'stopping') {
			return;
		}

		run.state = 'stopping';
		run.stopCause = cause;
		run.stopRequestedAt = this.parts.clock.now();
		this.parts.journal.record('runStopped', {
			target: this.parts.orders.target.id, task: run.request.task, attempt: run.request.attempt, requester: run.requester, cause,
		});
		void this.#sendStops(run);
	}

	async #sendStart(run: Run): Promise<void> {
		const {lease, limit, clock} = this.parts;
		const requestedAt = clock.now();
		const leaseUntil = lease.renewUntil(requestedAt, limit);
		if (leaseUntil === undefined) {
			this.#refuse(run, 'targetRefused');
			return;
		}

		const reply = await this.parts.orders.start(run.request, leaseUntil);
		this.parts.reports.recordClockOf(reply, requestedAt);
		if (!this.token.isCancellationRequested && this.parts.runs.has(run)) {
			this.#processStartReply(run, reply, requestedAt);
		}
	}

	#processStartReply(run: Run, reply: StartReply, requestedAt: number): void {
		switch (reply.kind) {
			case 'started': {
				this.#confirm(run);
				return;
			}

			case 'noRoom': {
				// The catalogue's record is outdated. The target gets no starts until its next report or a change of its capacity.
				this.parts.runs.isFull = true;
				this.#refuse(run, 'noRoom');
				return;
			}

			case 'superseded': {
				this.#refuse(run, 'superseded');
				return;
			}

			case 'expired': {
				if (reply.clock !== undefined) {
					this.parts.reports.recordClock(reply.clock, requestedAt, this.parts.clock.now());
				}

				this.#refuse(run, 'targetRefused');
				return;
			}

			case 'unanswered': {
				void this.#resolveUnansweredStart(run);
				return;
			}

			case 'fenced':
			case 'replaced': {
				this.parts.onDidFail(reply);
				return;
			}

			case 'unhealthy':
			case 'unreachable':
			case 'rejected': {
				this.parts.journal.record('startRefused', {
					target: this.parts.orders.target.id, task: run.request.task, attempt: run.request.attempt, kind: reply.kind, detail: reply.detail,
				});
				this.#refuse(run, 'targetRefused');
			}
		}
	}

	/**
	 * Checks whether an unanswered start was executed; if so, the run continues. Otherwise it may still be executed later, and
	 * only an accepted stop of the same attempt rules that out.
	 */
	async #resolveUnansweredStart(run: Run): Promise<void> {
		const report = await this.parts.reports.poll();
		if (this.token.isCancellationRequested || !this.parts.runs.has(run) || run.state !== 'starting') {
			return;
		}

		if (report?.running.some(found => runKeyOf(found) === runKeyOf(run.request))) {
			this.#confirm(run);
			this.parts.journal.record('runFound', {target: this.parts.orders.target.id, task: run.request.task, attempt: run.request.attempt});
			return;
		}

		this.stop(run, 'start without an answer');
	}

	/** Marks a run as started by the target; a run that is being stopped keeps that state. */
	#confirm(run: Run): void {
		run.confirmedAtStep = this.parts.steps.next();
		run.state = run.state === 'starting' ? 'running' : run.state;
	}

	#refuse(run: Run, cause: 'noRoom' | 'superseded' | 'targetRefused'): void {
		this.parts.settlement.end(run, {kind: 'refused', cause});
	}

	/** Repeats the stop until one is accepted; the target treats repeated stops as one. */
	async #sendStops(run: Run): Promise<void> {
		while (this.#isStopPending(run)) {
			await Promise.race([this.#sendStop(run), wait(this.parts.clock, stopRepeatMilliseconds)]);
		}
	}

	/** Sends one stop; returns once it is accepted, or some time after it failed. */
	async #sendStop(run: Run): Promise<void> {
		const reply = await this.parts.orders.stop(run.request);
		if (!this.#isStopPending(run)) {
			return;
		}

		if (reply.kind === 'accepted') {
			run.stopConfirmedAtStep = this.parts.steps.next();
			if (!this.token.isCancellationRequested) {
				void this.parts.reports.poll();
			}
		} else if (reply.kind === 'fenced' || reply.kind === 'replaced') {
			this.#isRejected = true;
			this.parts.onDidFail(reply);
		} else {
			await wait(this.parts.clock, stopRetryMilliseconds);
		}
	}

	#isStopPending(run: Run): boolean {
		return !this.parts.disposal.isCancellationRequested && !this.#isRejected && this.parts.runs.has(run) && run.stopConfirmedAtStep === undefined;
	}
}
