/** The start and the stop of each run on one target. */
import {match} from 'ts-pattern';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {StartReply} from '../targets/start-reply.js';
import type {LeaseSchedule} from './lease-schedule.js';
import {runKeyOf} from './run-key-of.js';
import type {RunSettlement} from './run-settlement.js';
import type {RunTable} from './run-table.js';
import type {Run} from './run.js';
import type {SessionOrders} from './session-orders.js';
import type {StepCounter} from './step-counter.js';
import type {TargetReports} from './target-reports.js';

/** Between two tries to stop a run, whose task can't be begun elsewhere before one of them is accepted. */
const stopRetryMilliseconds = 40;

/** What the control works with. */
type RunControlParts = {
	readonly runs: RunTable;
	readonly orders: SessionOrders;
	readonly lease: LeaseSchedule;
	readonly reports: TargetReports;
	readonly settlement: RunSettlement;
	readonly steps: StepCounter;
	readonly clock: Clock;
	readonly journal: Journal;
	/** The target doesn't take orders with this token or at this address any more. */
	readonly onDidFail: (failure: OrderFailure) => void;
};

/** Orders starts and stops until each has its answer, or is shown by a report to be settled. Once the token is cancelled nothing is ordered. */
export class RunControl {
	constructor(private readonly parts: RunControlParts, private readonly token: CancellationToken) {}

	/** Orders a start; the caller has checked that there's room. */
	start(run: Run): void {
		this.parts.runs.add(run);
		void this.#startRun(run);
	}

	/** Has a run ended; its outcome comes once it provably has. */
	stop(run: Run, cause: string): void {
		if (run.state === 'stopping') {
			return;
		}

		run.state = 'stopping';
		run.stopCause = cause;
		this.parts.journal.record('runStopped', {
			target: this.parts.orders.target.id, task: run.request.task, attempt: run.request.attempt, cause,
		});
		void this.#stopLoop(run);
	}

	async #startRun(run: Run): Promise<void> {
		const leaseUntil = this.parts.lease.renewal(this.parts.clock.now());
		if (leaseUntil === undefined) {
			this.#refuse(run, 'targetRefused');
			return;
		}

		const reply = await this.parts.orders.start(run.request, leaseUntil);
		if (!this.token.isCancellationRequested && this.parts.runs.holds(run)) {
			this.#takeStartReply(run, reply);
		}
	}

	#takeStartReply(run: Run, reply: StartReply): void {
		match(reply)
			.with({kind: 'started'}, () => {
				this.#confirm(run);
			})
			.with({kind: 'noRoom'}, ({kind}) => {
				// It has shrunk, and its entry in the list isn't read yet: it would be asked for each task that waits, again and again.
				this.parts.runs.isFull = true;
				this.#refuse(run, kind);
			})
			.with({kind: 'superseded'}, ({kind}) => {
				this.#refuse(run, kind);
			})
			.with({kind: 'expired'}, ({clock}) => {
				if (clock !== undefined) {
					this.parts.reports.readClock(clock, this.parts.clock.now());
				}

				this.#refuse(run, 'targetRefused');
			})
			.with({kind: 'unanswered'}, () => {
				void this.#findUnanswered(run);
			})
			.with({kind: 'fenced'}, {kind: 'replaced'}, failure => {
				this.parts.onDidFail(failure);
			})
			.with({kind: 'unhealthy'}, {kind: 'unreachable'}, {kind: 'rejected'}, ({kind, detail}) => {
				this.parts.journal.record('startRefused', {
					target: this.parts.orders.target.id, task: run.request.task, attempt: run.request.attempt, kind, detail,
				});
				this.#refuse(run, 'targetRefused');
			})
			.exhaustive();
	}

	/**
	 * Looks whether a start without an answer was carried out: its task goes on where it is then, and may still be in time.
	 * If not, it may be carried out later: only a stop of the same attempt proves that it won't.
	 */
	async #findUnanswered(run: Run): Promise<void> {
		const report = await this.parts.reports.look();
		if (this.token.isCancellationRequested || !this.parts.runs.holds(run) || run.state !== 'starting') {
			return;
		}

		if (report?.running.some(found => runKeyOf(found) === runKeyOf(run.request))) {
			this.#confirm(run);
			this.parts.journal.record('runFound', {target: this.parts.orders.target.id, task: run.request.task, attempt: run.request.attempt});
			return;
		}

		this.stop(run, 'start without an answer');
	}

	/** The target has said that it started the run; one that is to be stopped meanwhile stays so. */
	#confirm(run: Run): void {
		run.confirmedAtStep = this.parts.steps.next();
		run.state = run.state === 'starting' ? 'running' : run.state;
	}

	#refuse(run: Run, cause: 'noRoom' | 'superseded' | 'targetRefused'): void {
		this.parts.settlement.end(run, {kind: 'refused', cause});
	}

	async #stopLoop(run: Run): Promise<void> {
		while (!this.token.isCancellationRequested && this.parts.runs.holds(run) && run.stopConfirmedAtStep === undefined) {
			const reply = await this.parts.orders.stop(run.request);
			if (reply.kind === 'accepted') {
				run.stopConfirmedAtStep = this.parts.steps.next();
				void this.parts.reports.look();
				return;
			}

			if (reply.kind === 'fenced' || reply.kind === 'replaced') {
				this.parts.onDidFail(reply);
				return;
			}

			await wait(this.parts.clock, stopRetryMilliseconds);
		}
	}
}
