/** What a target reports, and what follows from it. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {RenewalReply} from '../targets/renewal-reply.js';
import type {LeaseSchedule} from './lease-schedule.js';
import {outcomeOfEnd} from './outcome-of-end.js';
import type {RenewalPlan} from './renewal-plan.js';
import {ReportOrder} from './report-order.js';
import {runKeyOf} from './run-key-of.js';
import type {RunSettlement} from './run-settlement.js';
import type {RunTable} from './run-table.js';
import type {SessionListener} from './session-listener.js';
import type {SessionOrders} from './session-orders.js';
import type {StepCounter} from './step-counter.js';
import type {UnknownRuns} from './unknown-runs.js';

type Report = Extract<RenewalReply, {kind: 'report'}>;

/** What the reports work with. */
type TargetReportsParts = {
	readonly runs: RunTable;
	readonly orders: SessionOrders;
	readonly lease: LeaseSchedule;
	readonly strangers: UnknownRuns;
	readonly plan: RenewalPlan;
	readonly settlement: RunSettlement;
	readonly steps: StepCounter;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: SessionListener;
};

/** Takes from each report what is news: the target's life and clock, ends, runs that are missing, and runs that nobody asked for. */
export class TargetReports {
	readonly #order = new ReportOrder();
	/** When the latest report came: what is still among the runs was running then. */
	#newestAt = 0;

	constructor(private readonly parts: TargetReportsParts, private readonly token: CancellationToken) {}

	/** The life that reported last. */
	get incarnation(): Incarnation | undefined {
		return this.#order.incarnation;
	}

	/** When the latest report came that told what runs there; monotonic. */
	get newestAt(): number {
		return this.#newestAt;
	}

	/**
	 * Asks at once what runs there, and takes the report. Of a run that was stopped nothing else would say that the target has
	 * never got its start before the wait of the renewal that is under way is over; its task would wait as long for another target.
	 */
	async look(): Promise<Report | undefined> {
		const sentAtStep = this.parts.steps.next();
		const reply = await this.parts.orders.look();
		// Whatever else comes of it, the renewals find out themselves.
		if (this.token.isCancellationRequested || reply.kind !== 'report') {
			return undefined;
		}

		this.take(reply, sentAtStep);
		return reply;
	}

	/** Takes a report that was asked for at a step of the session. */
	take(report: Report, sentAtStep: number): void {
		const now = this.parts.clock.now();
		const wasReachable = this.parts.plan.isReachable;
		const unanswered = this.parts.plan.answer();
		this.parts.runs.isFull = false;
		if (!wasReachable) {
			this.parts.journal.record('targetAnswers', {target: this.parts.orders.target.id, unanswered});
		}

		const former = this.#order.incarnation;
		this.#takeRuns(report, sentAtStep, now);
		const {incarnation} = this.#order;
		if (!wasReachable || !this.parts.plan.isLooked || incarnation !== former) {
			this.parts.listener.onDidAnswer(incarnation);
		}

		this.parts.plan.isLooked = true;
		this.parts.listener.onDidReport();
		this.parts.listener.onDidChange();
	}

	/** The clock may show that this entry was suspended: whoever hears of it comes before what follows from the answer. */
	readClock(clock: TargetTime, now: number): void {
		const uncounted = this.parts.lease.uncounted(clock, now);
		this.parts.lease.read(clock, now);
		if (uncounted !== undefined) {
			this.parts.listener.onDidCompareClocks(uncounted);
		}
	}

	#takeRuns(report: Report, sentAtStep: number, now: number): void {
		const former = this.#order.incarnation;
		const age = this.#order.take(report, sentAtStep);
		if (age === 'restarted') {
			this.#noteRestart(report, former);
		}

		if (age === 'newest') {
			this.readClock(report.clock, now);
		}

		this.#takeEnds(report, now);
		if (age === 'former') {
			return;
		}

		this.parts.plan.processed(report.ended);
		if (age !== 'overtaken') {
			this.parts.lease.read(report.clock, now);
			this.#newestAt = now;
			this.#dropMissing(new Set(report.running.map(run => runKeyOf(run))), sentAtStep);
			this.#stopStrangers(report, now);
		}
	}

	/** What is numbered or judged by life begins anew; what ran there is missing from the report that follows. */
	#noteRestart({incarnation}: Report, former: Incarnation | undefined): void {
		const {journal, listener} = this.parts;
		journal.record('targetRestarted', {
			target: this.parts.orders.target.id, incarnation, former, acknowledged: this.parts.plan.acknowledged, runs: this.parts.runs.size,
		});
		this.parts.plan.restart();
		this.parts.lease.restart();
		// A run whose start is under way may be one of the new life.
		this.parts.settlement.lose('down', former, [...this.parts.runs].filter(run => run.state !== 'starting'));
		listener.onDidRestart();
	}

	#takeEnds({ended}: Report, now: number): void {
		for (const end of ended) {
			const run = this.parts.runs.named(end);
			if (run !== undefined) {
				this.parts.settlement.end(run, outcomeOfEnd(run, end, this.parts.orders.target.id, now));
			}
		}
	}

	/**
	 * A run that was confirmed before the report was asked for and is in neither of its lists has ended. A report that left
	 * before the start was carried out says nothing of it.
	 */
	#dropMissing(running: ReadonlySet<string>, sentAtStep: number): void {
		for (const run of this.parts.runs) {
			const settledAtStep = run.stopConfirmedAtStep ?? run.confirmedAtStep;
			if (settledAtStep !== undefined && settledAtStep < sentAtStep && !running.has(runKeyOf(run.request))) {
				this.parts.settlement.end(run, {kind: 'gone', target: this.parts.orders.target.id, cause: run.stopCause ?? 'missing from the report'});
			}
		}
	}

	#stopStrangers(report: Report, now: number): void {
		for (const {task, attempt} of this.parts.strangers.take(report.running, this.parts.runs, now)) {
			this.parts.journal.record('strangerStopped', {target: this.parts.orders.target.id, task, attempt});
			void this.parts.orders.stop({task, attempt});
		}
	}
}
