/** Processing of the reports of one target. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {RenewalReply} from '../targets/renewal-reply.js';
import type {ClockOffsets} from './clock-offsets.js';
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
type ReportAge = ReturnType<ReportOrder['classify']>;

/** When a report was requested: the session's step, and the monotonic time. */
type ReportRequest = {readonly sentAtStep: number; readonly requestedAt: number};

/** Dependencies of the reports. */
type TargetReportsParts = {
	readonly runs: RunTable;
	readonly orders: SessionOrders;
	readonly lease: LeaseSchedule;
	readonly clockOffsets: ClockOffsets;
	readonly unknownRuns: UnknownRuns;
	readonly plan: RenewalPlan;
	readonly settlement: RunSettlement;
	readonly steps: StepCounter;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: SessionListener;
	/** Finds out whether this entry was paused. */
	readonly checkPause: () => void;
};

/** Processes each report: incarnation and clock of the target, ended runs, missing runs, and unknown runs. */
export class TargetReports {
	readonly #order = new ReportOrder();
	#latestReportAt = 0;

	constructor(private readonly parts: TargetReportsParts, private readonly token: CancellationToken) {}

	/** The incarnation that reported last. */
	get incarnation(): Incarnation | undefined {
		return this.#order.incarnation;
	}

	/** When the latest report arrived that wasn't out of order; monotonic. */
	get latestReportAt(): number {
		return this.#latestReportAt;
	}

	/**
	 * Requests a report and processes it. After a stop it shows that the run isn't there without waiting for the pending
	 * renewal, so that the task can start elsewhere sooner. Returns nothing when the target doesn't report.
	 */
	async poll(): Promise<Report | undefined> {
		const sentAtStep = this.parts.steps.next();
		const requestedAt = this.parts.clock.now();
		const reply = await this.parts.orders.poll();
		this.recordClockOf(reply, requestedAt);
		// Failures are handled by the renewals.
		if (this.token.isCancellationRequested || reply.kind !== 'report') {
			return undefined;
		}

		this.process(reply, {sentAtStep, requestedAt});
		return reply;
	}

	process(report: Report, request: ReportRequest): void {
		const now = this.parts.clock.now();
		const wasReachable = this.parts.plan.isReachable;
		const unanswered = this.parts.plan.recordAnswered();
		this.parts.runs.isFull = false;
		if (!wasReachable) {
			this.parts.journal.record('targetAnswers', {target: this.parts.orders.target.id, unanswered});
		}

		const former = this.#order.incarnation;
		this.#processRuns(report, request, now);
		const {incarnation} = this.#order;
		if (!wasReachable || !this.parts.plan.hasReport || incarnation !== former) {
			this.parts.listener.onDidAnswer(incarnation);
		}

		this.parts.plan.hasReport = true;
		this.parts.listener.onDidReport();
		this.parts.listener.onDidChange();
	}

	/** Records the clock of a rejection. A suspended entry may get nothing else, because its targets have a new owner. */
	recordClockOf(reply: {readonly kind: string; readonly clock?: TargetTime | undefined}, requestedAt: number): void {
		if (reply.kind === 'fenced' && reply.clock !== undefined) {
			this.recordClock(reply.clock, requestedAt, this.parts.clock.now());
		}
	}

	/** Records the target's clock. Listeners learn of a suspension of this entry before the rest of the answer is processed. */
	recordClock(clock: TargetTime, requestedAt: number, now: number): void {
		// Skipped time applies to the readings from before it only.
		this.parts.checkPause();
		this.#compareClocks(clock, requestedAt, now);
		this.parts.lease.recordClock(clock, now);
	}

	#compareClocks(clock: TargetTime, requestedAt: number, now: number): void {
		const gap = this.parts.clockOffsets.compare(clock, requestedAt, now);
		if (gap !== undefined) {
			this.parts.listener.onDidCompareClocks(gap);
		}
	}

	#processClock({incarnation, clock}: Report, age: ReportAge, requestedAt: number, now: number): void {
		const {clockOffsets, lease} = this.parts;
		switch (age) {
			case 'newest': {
				clockOffsets.selectIncarnation(incarnation);
				this.recordClock(clock, requestedAt, now);
				break;
			}

			case 'restarted': {
				clockOffsets.selectIncarnation(incarnation);
				lease.recordClock(clock, now);
				break;
			}

			case 'overtaken': {
				this.#compareClocks(clock, requestedAt, now);
				break;
			}

			case 'former': {
				// Its clock is gone.
				break;
			}
		}
	}

	#processRuns(report: Report, {sentAtStep, requestedAt}: ReportRequest, now: number): void {
		const former = this.#order.incarnation;
		const reportAge = this.#order.classify(report, sentAtStep);
		if (reportAge === 'restarted') {
			this.#handleRestart(report, former);
		}

		this.#processClock(report, reportAge, requestedAt, now);
		this.#processEnds(report, now);
		if (reportAge === 'former') {
			return;
		}

		this.parts.plan.acknowledge(report.ended);
		if (reportAge !== 'overtaken') {
			this.#latestReportAt = now;
			this.#endMissingRuns(new Set(report.running.map(run => runKeyOf(run))), sentAtStep);
			this.#stopUnknownRuns(report, now);
		}
	}

	/** Resets all state that is specific to an incarnation; the former one's runs are missing from this report. */
	#handleRestart({incarnation}: Report, former: Incarnation | undefined): void {
		const {journal, listener} = this.parts;
		journal.record('targetRestarted', {
			target: this.parts.orders.target.id, incarnation, former, acknowledged: this.parts.plan.acknowledged, runs: this.parts.runs.size,
		});
		this.parts.plan.restart();
		this.parts.lease.restart();
		// A run that is still starting may belong to the new incarnation.
		this.parts.settlement.reportLost('down', former, [...this.parts.runs].filter(run => run.state !== 'starting'));
		listener.onDidRestart();
	}

	#processEnds({ended}: Report, now: number): void {
		for (const end of ended) {
			const run = this.parts.runs.get(end);
			if (run !== undefined) {
				this.parts.settlement.end(run, outcomeOfEnd(run, end, this.parts.orders.target.id, now));
			}
		}
	}

	/**
	 * Ends the runs that were confirmed before the report was requested and are in neither of its lists. A run that was
	 * confirmed later may be missing because the report is older than its start.
	 */
	#endMissingRuns(running: ReadonlySet<string>, sentAtStep: number): void {
		for (const run of this.parts.runs) {
			const settledAtStep = run.stopConfirmedAtStep ?? run.confirmedAtStep;
			if (settledAtStep !== undefined && settledAtStep < sentAtStep && !running.has(runKeyOf(run.request))) {
				this.parts.settlement.end(run, {kind: 'gone', target: this.parts.orders.target.id, cause: run.stopCause ?? 'missing from the report'});
			}
		}
	}

	#stopUnknownRuns(report: Report, now: number): void {
		for (const {task, attempt} of this.parts.unknownRuns.update(report.running, this.parts.runs, now)) {
			this.parts.journal.record('strangerStopped', {target: this.parts.orders.target.id, task, attempt});
			void this.parts.orders.stop({task, attempt});
		}
	}
}
