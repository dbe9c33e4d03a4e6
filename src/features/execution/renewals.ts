/** The renewal loop of one target's lease. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {LeaseSchedule} from './lease-schedule.js';
import type {RenewalPlan} from './renewal-plan.js';
import type {RunSettlement} from './run-settlement.js';
import type {RunTable} from './run-table.js';
import type {SessionListener} from './session-listener.js';
import type {SessionOrders} from './session-orders.js';
import type {StepCounter} from './step-counter.js';
import type {TargetReports} from './target-reports.js';

/** Interval between renewals of a target that doesn't answer. */
const retryMilliseconds = 100;

/** Dependencies of the renewals. */
type RenewalsParts = {
	readonly runs: RunTable;
	readonly orders: SessionOrders;
	readonly lease: LeaseSchedule;
	readonly plan: RenewalPlan;
	readonly reports: TargetReports;
	readonly settlement: RunSettlement;
	readonly steps: StepCounter;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: SessionListener;
	/** Finds out whether this entry was paused, before the lease is limited by the requesters' last contacts. */
	readonly checkPause: () => void;
	/** Called when the target no longer accepts orders with this token or at this address. */
	readonly onDidFail: (failure: OrderFailure) => void;
};

/** Renews the lease repeatedly, passes on the reports, and ends all runs once the target has been silent for longer than their lease. */
export class Renewals {
	constructor(private readonly parts: RenewalsParts, private readonly token: CancellationToken) {}

	/** Renews until the token is cancelled. */
	async run(): Promise<void> {
		const {orders, plan, reports, steps, clock, checkPause, onDidFail} = this.parts;
		while (!this.token.isCancellationRequested) {
			// After a suspension the answer to the previous renewal may be read before any timer fires.
			checkPause();
			const sentAtStep = steps.next();
			const requestedAt = clock.now();
			const reply = await orders.renew(plan.next(requestedAt));
			reports.recordClockOf(reply, requestedAt);
			if (this.token.isCancellationRequested) {
				return;
			}

			if (reply.kind === 'report') {
				reports.process(reply, {sentAtStep, requestedAt});
			} else if (reply.kind === 'fenced' || reply.kind === 'replaced') {
				onDidFail(reply);
			} else {
				this.#handleMissedRenewal(reply);
				await wait(clock, retryMilliseconds);
			}
		}
	}

	#handleMissedRenewal(failure: OrderFailure): void {
		const {orders, plan, runs, lease, reports, settlement, clock, journal, listener} = this.parts;
		if (plan.recordMissed()) {
			journal.record('targetSilent', {
				target: orders.target.id, kind: failure.kind, detail: failure.detail, runs: runs.size,
			});
		}

		if (clock.now() > lease.latestEnd) {
			settlement.reportLost('silent', reports.incarnation, [...runs]);
			settlement.endAll('lease passed on a target that does not answer');
		}

		listener.onDidChange();
	}
}
