/** The orders to one owned target, and what runs there. */
import {match} from 'ts-pattern';
import type {Disposable} from '../../base/disposable.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {Incarnation} from '../../base/incarnation.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {Resources} from '../../base/resources.js';
import type {TargetTime} from '../../base/target-time.js';
import type {TaskId} from '../../base/task-id.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {RenewalReply} from '../targets/renewal-reply.js';
import type {StartReply} from '../targets/start-reply.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {Handover} from './handover.js';
import {LeaseSchedule} from './lease-schedule.js';
import {outcomeOfEnd} from './outcome-of-end.js';
import {overdueOf} from './overdue-of.js';
import {RenewalPlan} from './renewal-plan.js';
import {ReportOrder} from './report-order.js';
import {runKeyOf} from './run-key-of.js';
import {RunTable} from './run-table.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';
import type {RunRequest} from './run-request.js';
import {SessionOrders} from './session-orders.js';
import type {SessionParts} from './session-parts.js';
import {slowdownOf} from './slowdown-of.js';
import {StrangerRuns} from './stranger-runs.js';

/** Between renewals of a target that doesn't answer. */
const retryMilliseconds = 100;
/** Between two tries to stop a run; beside the time limit of the first it's the shorter part. */
const stopRetryMilliseconds = 40;

type Report = Extract<RenewalReply, {kind: 'report'}>;

/**
 * Starts and stops runs on one target, renews their lease and takes their ends. The session is the only one that orders the
 * target, as long as no newer owner was there; what it can't prove to have ended keeps its room.
 */
export class TargetSession implements Disposable {
	readonly #runs: RunTable;
	readonly #orders: SessionOrders;
	readonly #lease: LeaseSchedule;
	readonly #strangers: StrangerRuns;
	readonly #plan: RenewalPlan;
	readonly #reports = new ReportOrder();
	#isClosed = false;
	#isPaused = false;
	/** It has rejected a start for want of room, and has told nothing new since. */
	#isFull = false;
	#hasOverdue = false;
	/** Counts what is sent and what is confirmed: times can't tell before from after within one millisecond. */
	#step = 0;
	/** When the latest report came: what is still among the runs was running then. */
	#reportedAt = 0;
	#wake: Disposable | undefined;

	constructor(private readonly parts: SessionParts) {
		const {target, fence, leaseMilliseconds, clock} = parts;
		this.#orders = new SessionOrders(parts, target, fence);
		this.#runs = new RunTable(target.capacity);
		this.#strangers = new StrangerRuns(clock.now());
		this.#lease = new LeaseSchedule(leaseMilliseconds);
		this.#plan = new RenewalPlan(this.#lease, this.#runs, this.#strangers);
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
		const isOurs = !this.#isClosed && !this.#isPaused && !this.#isFull && this.#plan.isLooked && !this.#strangers.areThere;
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
		const {suspects, overdue} = overdueOf(this.#runs, this.#reportedAt);
		this.#hasOverdue = suspects.length > 0;
		return overdue;
	}

	/** What is left of the target's capacity. */
	get room(): Resources {
		return this.#runs.room;
	}

	/** Asks what runs there without waiting for the renewal under way. */
	look(): void {
		void this.#look();
	}

	/** Begins to look and to renew. */
	open(): void {
		void this.#renewLoop();
	}

	/** Takes a newer state of the same life, or a newer token. */
	update(target: TargetRecord, fence: FencingToken): void {
		this.#isFull &&= target.capacity.equals(this.target.capacity);
		this.#orders.target = target;
		this.#orders.fence = fence;
		this.#runs.resize(target.capacity);
	}

	/** Whether as many tasks of its job run here as may. */
	isFullOfJob({place, task}: RunRequest): boolean {
		return place.mostOnTarget !== undefined && this.#runs.countOfJob(jobOfTask(task)) >= place.mostOnTarget;
	}

	/** Takes the former owner's runs as its own; the next report shows which of them still run. */
	adopt(handover: Handover): void {
		const now = this.parts.clock.now();
		// The former owner may have renewed the lease until it gave its word. Without this, a run that is lost before this
		// owner renews anything would be told as gone at once, and be begun elsewhere beside itself.
		this.#lease.noteRenewal(now);
		for (const {request, requester} of handover.runs) {
			this.#runs.add({
				request, requester, slowdown: slowdownOf(request.place, this.target.labels), state: 'running', startedAt: now, confirmedAtStep: this.#nextStep(), stopConfirmedAtStep: undefined, stopCause: undefined,
			});
		}

		this.#strangers.forget(this.#runs);
	}

	/** Orders a start; the caller has checked that there's room. */
	start(run: Run): void {
		this.#runs.add(run);
		void this.#startRun(run);
	}

	/** Has a run ended; its outcome comes once it provably has. */
	stop(task: string, attempt: number, cause: string): void {
		const run = this.#runs.named({task, attempt});
		if (run !== undefined) {
			this.#beginStop(run, cause);
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

		this.#endAllWithLease('released by its owner');
		return {
			target: this.target.id,
			runs: runs.map(({request, requester}) => ({request, requester})),
		};
	}

	/** Stops ordering a target that left the catalogue; its runs are reported once their lease has certainly ended. */
	abandon(): void {
		this.#close();
		this.#endAllWithLease('the target left');
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

	#close(): void {
		this.#isClosed = true;
		this.#wake?.dispose();
	}

	async #startRun(run: Run): Promise<void> {
		const leaseUntil = this.#lease.renewal(this.parts.clock.now());
		if (leaseUntil === undefined) {
			this.#refuse(run, 'targetRefused');
			return;
		}

		const reply = await this.#orders.start(run.request, leaseUntil);
		if (!this.#isClosed && this.#runs.holds(run)) {
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
				this.#isFull = true;
				this.#refuse(run, kind);
			})
			.with({kind: 'superseded'}, ({kind}) => {
				this.#refuse(run, kind);
			})
			.with({kind: 'expired'}, ({clock}) => {
				if (clock !== undefined) {
					this.#readClock(clock, this.parts.clock.now());
				}

				this.#refuse(run, 'targetRefused');
			})
			.with({kind: 'unanswered'}, () => {
				void this.#findUnanswered(run);
			})
			.with({kind: 'fenced'}, {kind: 'replaced'}, failure => {
				this.#finish(failure);
			})
			.with({kind: 'unhealthy'}, {kind: 'unreachable'}, {kind: 'rejected'}, ({kind, detail}) => {
				this.parts.journal.record('startRefused', {
					target: this.target.id, task: run.request.task, attempt: run.request.attempt, kind, detail,
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
		const report = await this.#look();
		if (this.#isClosed || !this.#runs.holds(run) || run.state !== 'starting') {
			return;
		}

		if (report?.running.some(found => runKeyOf(found) === runKeyOf(run.request))) {
			this.#confirm(run);
			this.parts.journal.record('runFound', {target: this.target.id, task: run.request.task, attempt: run.request.attempt});
			return;
		}

		this.#beginStop(run, 'start without an answer');
	}

	/** The target has said that it started the run; one that is to be stopped meanwhile stays so. */
	#confirm(run: Run): void {
		run.confirmedAtStep = this.#nextStep();
		run.state = run.state === 'starting' ? 'running' : run.state;
	}

	#refuse(run: Run, cause: 'noRoom' | 'superseded' | 'targetRefused'): void {
		this.#end(run, {kind: 'refused', cause});
	}

	#beginStop(run: Run, cause: string): void {
		if (run.state === 'stopping') {
			return;
		}

		run.state = 'stopping';
		run.stopCause = cause;
		this.parts.journal.record('runStopped', {
			target: this.target.id, task: run.request.task, attempt: run.request.attempt, cause,
		});
		void this.#stopLoop(run);
	}

	async #stopLoop(run: Run): Promise<void> {
		while (!this.#isClosed && this.#runs.holds(run) && run.stopConfirmedAtStep === undefined) {
			const reply = await this.#orders.stop(run.request);
			if (reply.kind === 'accepted') {
				run.stopConfirmedAtStep = this.#nextStep();
				void this.#look();
				return;
			}

			if (reply.kind === 'fenced' || reply.kind === 'replaced') {
				this.#finish(reply);
				return;
			}

			await this.#pause(stopRetryMilliseconds);
		}
	}

	/**
	 * Asks at once what runs there, and takes the report. Of a run that was stopped nothing else would say that the target has
	 * never got its start before the wait of the renewal that is under way is over; its task would wait as long for another target.
	 */
	async #look(): Promise<Report | undefined> {
		const sentAtStep = this.#nextStep();
		const reply = await this.#orders.look();
		// Whatever else comes of it, the renewals find out themselves.
		if (this.#isClosed || reply.kind !== 'report') {
			return undefined;
		}

		this.#takeReport(reply, sentAtStep);
		return reply;
	}

	#nextStep(): number {
		this.#step += 1;
		return this.#step;
	}

	async #renewLoop(): Promise<void> {
		while (!this.#isClosed) {
			const sentAtStep = this.#nextStep();
			const reply = await this.#orders.renew(this.#plan.next(this.parts.clock.now()));
			if (this.#isClosed) {
				return;
			}

			if (reply.kind === 'report') {
				this.#takeReport(reply, sentAtStep);
			} else if (reply.kind === 'fenced' || reply.kind === 'replaced') {
				this.#finish(reply);
			} else {
				this.#missRenewal(reply);
				await this.#pause(retryMilliseconds);
			}
		}
	}

	#takeReport(report: Report, sentAtStep: number): void {
		const now = this.parts.clock.now();
		const wasReachable = this.#plan.isReachable;
		const unanswered = this.#plan.answer();
		this.#isFull = false;
		if (!wasReachable) {
			this.parts.journal.record('targetAnswers', {target: this.target.id, unanswered});
		}

		const former = this.#reports.incarnation;
		this.#takeRuns(report, sentAtStep, now);
		const {incarnation} = this.#reports;
		if (!wasReachable || !this.#plan.isLooked || incarnation !== former) {
			this.parts.listener.onDidAnswer(incarnation);
		}

		this.#plan.isLooked = true;
		this.parts.listener.onDidReport();
		this.parts.listener.onDidChange();
	}

	#takeRuns(report: Report, sentAtStep: number, now: number): void {
		const former = this.#reports.incarnation;
		const age = this.#reports.take(report, sentAtStep);
		if (age === 'restarted') {
			this.#noteRestart(report, former);
		}

		if (age === 'newest') {
			this.#readClock(report.clock, now);
		}

		this.#takeEnds(report, now);
		if (age === 'former') {
			return;
		}

		this.#plan.processed(report.ended);
		if (age !== 'overtaken') {
			this.#lease.read(report.clock, now);
			this.#reportedAt = now;
			this.#dropMissing(new Set(report.running.map(run => runKeyOf(run))), sentAtStep);
			this.#stopStrangers(report, now);
		}
	}

	/** The clock may show that this entry was suspended: whoever hears of it comes before what follows from the answer. */
	#readClock(clock: TargetTime, now: number): void {
		const uncounted = this.#lease.uncounted(clock, now);
		this.#lease.read(clock, now);
		if (uncounted !== undefined) {
			this.parts.listener.onDidCompareClocks(uncounted);
		}
	}

	/** What is numbered or judged by life begins anew; what ran there is missing from the report that follows. */
	#noteRestart({incarnation}: Report, former: Incarnation | undefined): void {
		const {journal, listener} = this.parts;
		journal.record('targetRestarted', {
			target: this.target.id, incarnation, former, acknowledged: this.#plan.acknowledged, runs: this.#runs.size,
		});
		this.#plan.restart();
		this.#lease.restart();
		// A run whose start is under way may be one of the new life.
		this.#lose('down', former, [...this.#runs].filter(run => run.state !== 'starting'));
		listener.onDidRestart();
	}

	#takeEnds({ended}: Report, now: number): void {
		for (const end of ended) {
			const run = this.#runs.named(end);
			if (run !== undefined) {
				this.#end(run, outcomeOfEnd(run, end, this.target.id, now));
			}
		}
	}

	/**
	 * A run that was confirmed before the report was asked for and is in neither of its lists has ended. A report that left
	 * before the start was carried out says nothing of it.
	 */
	#dropMissing(running: ReadonlySet<string>, sentAtStep: number): void {
		for (const run of this.#runs) {
			const settledAtStep = run.stopConfirmedAtStep ?? run.confirmedAtStep;
			if (settledAtStep !== undefined && settledAtStep < sentAtStep && !running.has(runKeyOf(run.request))) {
				this.#end(run, {kind: 'gone', target: this.target.id, cause: run.stopCause ?? 'missing from the report'});
			}
		}
	}

	#stopStrangers(report: Report, now: number): void {
		for (const {task, attempt} of this.#strangers.take(report.running, this.#runs, now)) {
			this.parts.journal.record('strangerStopped', {target: this.target.id, task, attempt});
			void this.#orders.stop({task, attempt});
		}
	}

	#missRenewal(failure: OrderFailure): void {
		const {clock, journal, listener} = this.parts;
		if (this.#plan.miss()) {
			journal.record('targetSilent', {
				target: this.target.id, kind: failure.kind, detail: failure.detail, runs: this.#runs.size,
			});
		}

		if (clock.now() > this.#lease.certainEnd) {
			this.#lose('silent', this.#reports.incarnation, [...this.#runs]);
			this.#endAll('lease passed on a target that does not answer');
		}

		listener.onDidChange();
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
			this.#lose('down', this.#reports.incarnation, [...this.#runs]);
			this.#endAll(kind);
		} else {
			this.#endAllWithLease(kind);
		}

		this.parts.listener.onDidEnd(kind === 'fenced' ? 'fenced' : 'replaced');
	}

	/** Another owner may have let the runs go on for the rest of their lease; it renews none that it doesn't know. */
	#endAllWithLease(cause: string): void {
		const {clock} = this.parts;
		clock.schedule(Math.max(0, this.#lease.certainEnd - clock.now()), () => {
			this.#endAll(cause);
		});
	}

	#lose(news: 'silent' | 'down', incarnation: Incarnation | undefined, runs: readonly Run[]): void {
		const {onDidLose} = this.parts.listener;
		const begun = runs.filter(run => run.confirmedAtStep !== undefined);
		const unsure = runs.filter(run => run.confirmedAtStep === undefined);
		onDidLose(news, incarnation, begun.map(({request}) => request.task));
		onDidLose('unsure', incarnation, unsure.map(({request}) => request.task));
	}

	#endAll(cause: string): void {
		for (const run of this.#runs) {
			this.#end(run, {kind: 'gone', target: this.target.id, cause});
		}
	}

	#end(run: Run, outcome: RunOutcome): void {
		this.#runs.remove(run);
		this.parts.listener.onDidEndRun(run, outcome);
	}

	async #pause(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = this.parts.clock.schedule(milliseconds, resolve);
		});
	}
}
