/** The owner's side of one target. */
import {match} from 'ts-pattern';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {Resources} from '../../base/resources.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {OrderFailure} from '../targets/order-failure.js';
import type {RenewalReply} from '../targets/renewal-reply.js';
import type {RunEnd} from '../targets/run-end.js';
import type {StartReply} from '../targets/start-reply.js';
import type {StopReply} from '../targets/stop-reply.js';
import type {TargetOrders} from '../targets/target-orders.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {AnswerTimes} from './answer-times.js';
import type {Handover} from './handover.js';
import {LeaseSchedule} from './lease-schedule.js';
import {overdueOf} from './overdue-of.js';
import {runKeyOf} from './run-key-of.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';
import type {SessionListener} from './session-listener.js';
import {StrangerRuns} from './stranger-runs.js';

/**
 * How long a target waits for an end before it answers a renewal: a quarter of the lease. A lost renewal hides the target's
 * ends for this and the time limit, and a run that is overdue is known to be so no later than this. With 100 ms two renewals in
 * five ended without telling anything on a target with nine ends a second.
 */
const busyWaitMilliseconds = 250;
/** Without runs there's no lease to renew; the wait stays under the lease of a start that comes meanwhile. */
const idleWaitMilliseconds = 600;
/** Between renewals of a target that doesn't answer. */
const retryMilliseconds = 100;
/** So many renewals in a row without an answer, and the target gets no new tasks. */
const unansweredToSuspend = 2;
/** Between two tries to stop a run; beside the time limit of the first it's the shorter part. */
const stopRetryMilliseconds = 40;
/** While there are runs that this owner doesn't know, their ends are looked for often. */
const strangerWaitMilliseconds = 50;

/** What a session works with. */
type SessionParts = {
	readonly target: TargetRecord;
	readonly fence: FencingToken;
	readonly leaseMilliseconds: number;
	readonly orders: TargetOrders;
	/** Of all targets together: what is slow about an entry is slow for each of them. */
	readonly answerTimes: AnswerTimes;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: SessionListener;
};

/**
 * Starts and stops runs on one target, renews their lease and takes their ends. The session is the only one that orders the
 * target, as long as no newer owner was there; what it can't prove to have ended keeps its room.
 */
export class TargetSession implements Disposable {
	readonly #runs = new Map<string, Run>();
	/** How many attempts of each task are among the runs. */
	readonly #attempts = new Map<TaskId, number>();
	readonly #lease: LeaseSchedule;
	#target: TargetRecord;
	#fence: FencingToken;
	#acknowledged = 0;
	#unanswered = 0;
	#isLooked = false;
	#isClosed = false;
	#isPaused = false;
	#hasOverdue = false;
	#room: Resources | undefined;
	/** Counts what is sent and what is confirmed: times can't tell before from after within one millisecond. */
	#step = 0;
	/** The target's time of the latest report; a report that was overtaken says nothing of what runs now. */
	#reportClock = 0;
	/** When the latest report came: what is still in `#runs` was running then. */
	#reportedAt = 0;
	readonly #strangers: StrangerRuns;
	#wake: Disposable | undefined;

	constructor(private readonly parts: SessionParts) {
		this.#target = parts.target;
		this.#fence = parts.fence;
		this.#strangers = new StrangerRuns(parts.clock.now());
		this.#lease = new LeaseSchedule(parts.leaseMilliseconds);
	}

	get target(): TargetRecord {
		return this.#target;
	}

	get fence(): FencingToken {
		return this.#fence;
	}

	get runs(): Iterable<Run> {
		return this.#runs.values();
	}

	hasRunOf(task: TaskId): boolean {
		return this.#attempts.has(task);
	}

	/** Whether new tasks may be started: the target answers, isn't draining, and holds nothing unknown or overdue. */
	get isOpen(): boolean {
		const isOurs = !this.#isClosed && !this.#isPaused && this.#isLooked && !this.#strangers.areThere;
		return isOurs && this.isReachable && !this.#target.isDraining && !this.#hasOverdue;
	}

	get isReachable(): boolean {
		return this.#unanswered < unansweredToSuspend;
	}

	/**
	 * Looks for runs that take much longer than expected. One of them may just be long: the target gets no new tasks until
	 * it has ended. Several, or one that is far over, say that the target works slowly or not at all; those are returned.
	 * Only what the target itself has reported counts: while its answers are lost, runs that have ended seem to go on.
	 */
	findOverdue(): readonly Run[] {
		const {suspects, overdue} = overdueOf(this.#runs.values(), this.#reportedAt);
		this.#hasOverdue = suspects.length > 0;
		return overdue;
	}

	/** What is left of the target's capacity. */
	get room(): Resources {
		this.#room ??= this.#roomLeft();
		return this.#room;
	}

	/** Begins to look and to renew. */
	open(): void {
		void this.#renewLoop();
	}

	/** Takes a newer state of the same life, or a newer token. */
	update(target: TargetRecord, fence: FencingToken): void {
		this.#target = target;
		this.#fence = fence;
		this.#room = undefined;
	}

	/** Takes the former owner's runs as its own; the next report shows which of them still run. */
	adopt(handover: Handover): void {
		this.#acknowledged = Math.max(this.#acknowledged, handover.acknowledged);
		const now = this.parts.clock.now();
		// The former owner may have renewed the lease until it gave its word. Without this, a run that is lost before this
		// owner renews anything would be told as gone at once, and be begun elsewhere beside itself.
		this.#lease.noteRenewal(now);
		for (const {request, requester} of handover.runs) {
			const run: Run = {
				request, requester, state: 'running', startedAt: now, confirmedAtStep: this.#nextStep(), stopConfirmedAtStep: undefined, stopCause: undefined,
			};
			this.#add(run);
		}

		this.#strangers.forget(this.#runs);
	}

	/** Orders a start; the caller has checked that there's room. */
	start(run: Run): void {
		this.#add(run);
		void this.#startRun(run);
	}

	/** Has a run ended; its outcome comes once it provably has. */
	stop(task: string, attempt: number, cause: string): void {
		const run = this.#runs.get(runKeyOf({task, attempt}));
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
		const runs = [...this.#runs.values()].filter(run => run.state === 'running');
		for (const run of runs) {
			this.#remove(run);
		}

		this.#endAllWithLease('released by its owner');
		return {
			target: this.#target.id,
			acknowledged: this.#acknowledged,
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
		return [...this.#runs.values()].some(run => run.state === 'starting');
	}

	/** Takes no new tasks from here on, before a release. */
	pause(): void {
		this.#isPaused = true;
	}

	dispose(): void {
		this.#close();
	}

	#roomLeft(): Resources {
		let room = this.#target.capacity;
		for (const run of this.#runs.values()) {
			room = room.minus(run.request.need);
		}

		return room;
	}

	#add(run: Run): void {
		const {task} = run.request;
		this.#runs.set(runKeyOf(run.request), run);
		this.#attempts.set(task, (this.#attempts.get(task) ?? 0) + 1);
		this.#room = undefined;
	}

	#remove(run: Run): void {
		const {task} = run.request;
		const others = (this.#attempts.get(task) ?? 0) - 1;
		this.#runs.delete(runKeyOf(run.request));
		this.#room = undefined;
		if (others > 0) {
			this.#attempts.set(task, others);
		} else {
			this.#attempts.delete(task);
		}
	}

	#close(): void {
		this.#isClosed = true;
		this.#wake?.dispose();
	}

	async #startRun(run: Run): Promise<void> {
		const {orders, clock} = this.parts;
		const leaseUntil = this.#lease.renewal(clock.now());
		if (leaseUntil === undefined) {
			this.#end(run, {kind: 'refused', cause: 'targetRefused'});
			return;
		}

		const {task, attempt, payload} = run.request;
		const reply = await this.#timed(async limitMilliseconds => orders.start(this.#target, {
			task, attempt, payload, fence: this.#fence, leaseUntil, limitMilliseconds,
		}));
		if (this.#isClosed || !this.#isCurrent(run)) {
			return;
		}

		this.#takeStartReply(run, reply);
	}

	#takeStartReply(run: Run, reply: StartReply): void {
		match(reply)
			.with({kind: 'started'}, () => {
				run.confirmedAtStep = this.#nextStep();
				run.state = run.state === 'starting' ? 'running' : run.state;
			})
			.with({kind: 'noRoom'}, {kind: 'superseded'}, ({kind}) => {
				this.#refuse(run, kind);
			})
			.with({kind: 'expired'}, () => {
				this.#refuse(run, 'targetRefused');
			})
			.with({kind: 'unanswered'}, () => {
				// The start may be carried out later: only a stop of the same attempt proves that it won't.
				this.#beginStop(run, 'start without an answer');
			})
			.with({kind: 'fenced'}, {kind: 'replaced'}, failure => {
				this.#finish(failure);
			})
			.with({kind: 'unhealthy'}, {kind: 'unreachable'}, {kind: 'rejected'}, ({kind, detail}) => {
				this.parts.journal.record('startRefused', {
					target: this.#target.id, task: run.request.task, attempt: run.request.attempt, kind, detail,
				});
				this.#refuse(run, 'targetRefused');
			})
			.exhaustive();
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
			target: this.#target.id, task: run.request.task, attempt: run.request.attempt, cause,
		});
		void this.#stopLoop(run);
	}

	async #stopLoop(run: Run): Promise<void> {
		while (!this.#isClosed && this.#isCurrent(run) && run.stopConfirmedAtStep === undefined) {
			const reply = await this.#orderStop(run.request);
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
	 * Asks at once whether a run that was stopped is there: if the target has never got its start, nothing else would say so
	 * before the wait of the renewal that is under way is over, and its task would wait as long for another target.
	 */
	async #look(): Promise<void> {
		const sentAtStep = this.#nextStep();
		const reply = await this.#timed(async limitMilliseconds => this.parts.orders.renew(this.#target, {
			fence: this.#fence, acknowledged: this.#acknowledged, leaseUntil: undefined, waitMilliseconds: 0, limitMilliseconds,
		}));
		// Whatever else comes of it, the renewals find out themselves.
		if (!this.#isClosed && reply.kind === 'report') {
			this.#takeReport(reply, sentAtStep);
		}
	}

	async #orderStop({task, attempt}: {readonly task: TaskId; readonly attempt: number}): Promise<StopReply> {
		return this.#timed(async limitMilliseconds => this.parts.orders.stop(this.#target, {
			task, attempt, fence: this.#fence, limitMilliseconds,
		}));
	}

	/** Gives an order its time limit, and learns from the answer. */
	async #timed<Reply extends {readonly kind: string}>(order: (limitMilliseconds: number) => Promise<Reply>): Promise<Reply> {
		const {answerTimes, clock} = this.parts;
		const sentAt = clock.now();
		const reply = await order(answerTimes.limitMilliseconds);
		if (reply.kind !== 'unanswered' && reply.kind !== 'unreachable') {
			answerTimes.record(clock.now() - sentAt);
		}

		return reply;
	}

	#nextStep(): number {
		this.#step += 1;
		return this.#step;
	}

	async #renewLoop(): Promise<void> {
		const {orders, clock, answerTimes} = this.parts;
		while (!this.#isClosed) {
			const sentAtStep = this.#nextStep();
			const reply = await orders.renew(this.#target, {
				fence: this.#fence,
				acknowledged: this.#acknowledged,
				leaseUntil: this.#leaseWanted(clock.now()),
				waitMilliseconds: this.#waitWanted(),
				limitMilliseconds: answerTimes.limitMilliseconds,
			});
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

	#waitWanted(): number {
		if (!this.#isLooked || this.#unanswered > 0) {
			return 0;
		}

		if (this.#strangers.areThere) {
			return strangerWaitMilliseconds;
		}

		return this.#runs.size > 0 ? busyWaitMilliseconds : idleWaitMilliseconds;
	}

	/** Nothing is renewed while something may run there that nobody asked for, or whose stop isn't confirmed. */
	#leaseWanted(now: number) {
		if (!this.#isLooked || this.#strangers.areThere) {
			return undefined;
		}

		if (this.#unanswered >= unansweredToSuspend) {
			// A renewal without an answer may have been carried out: with each further one it would be later that the runs
			// have certainly ended, and their jobs would never be told.
			return undefined;
		}

		const hasOverdueStop = [...this.#runs.values()].some(run => run.state === 'stopping' && run.stopConfirmedAtStep === undefined && this.#unanswered > 0);
		return hasOverdueStop || this.#runs.size === 0 ? undefined : this.#lease.renewal(now);
	}

	#takeReport(report: Extract<RenewalReply, {kind: 'report'}>, sentAtStep: number): void {
		const now = this.parts.clock.now();
		if (this.#unanswered >= unansweredToSuspend) {
			this.parts.journal.record('targetAnswers', {target: this.#target.id, unanswered: this.#unanswered});
		}

		this.#unanswered = 0;
		this.#reportedAt = now;
		this.#lease.read(report.clock, now);
		for (const end of report.ended) {
			this.#takeEnd(end);
		}

		if (report.clock >= this.#reportClock) {
			this.#reportClock = report.clock;
			this.#dropMissing(new Set(report.running.map(run => runKeyOf(run))), sentAtStep);
			this.#stopStrangers(report, now);
		}

		this.#isLooked = true;
		this.parts.listener.onDidReport();
		this.parts.listener.onDidChange();
	}

	#takeEnd(end: RunEnd): void {
		this.#acknowledged = Math.max(this.#acknowledged, end.number);
		const run = this.#runs.get(runKeyOf(end));
		if (run !== undefined) {
			this.#end(run, this.#outcomeOf(run, end));
		}
	}

	#outcomeOf(run: Run, end: RunEnd): RunOutcome {
		const target = this.#target.id;
		if (end.how === 'done') {
			return {kind: 'done', target, ranMilliseconds: this.parts.clock.now() - run.startedAt};
		}

		if (end.how === 'failed') {
			return {kind: 'failed', target, isTargetSuspect: false};
		}

		return {kind: 'gone', target, cause: run.stopCause ?? end.how};
	}

	/**
	 * A run that was confirmed before the report was asked for and is in neither of its lists has ended. A report that left
	 * before the start was carried out says nothing of it.
	 */
	#dropMissing(running: ReadonlySet<string>, sentAtStep: number): void {
		for (const [key, run] of this.#runs) {
			const settledAtStep = run.stopConfirmedAtStep ?? run.confirmedAtStep;
			if (settledAtStep !== undefined && settledAtStep < sentAtStep && !running.has(key)) {
				this.#end(run, {kind: 'gone', target: this.#target.id, cause: run.stopCause ?? 'missing from the report'});
			}
		}
	}

	#stopStrangers(report: Extract<RenewalReply, {kind: 'report'}>, now: number): void {
		for (const {task, attempt} of this.#strangers.take(report.running, this.#runs, now)) {
			this.parts.journal.record('strangerStopped', {target: this.#target.id, task, attempt});
			void this.#orderStop({task, attempt});
		}
	}

	#missRenewal(failure: OrderFailure): void {
		this.#unanswered += 1;
		const {clock, journal, listener} = this.parts;
		if (this.#unanswered === unansweredToSuspend) {
			journal.record('targetSilent', {
				target: this.#target.id, kind: failure.kind, detail: failure.detail, runs: this.#runs.size,
			});
		}

		if (clock.now() > this.#lease.certainEnd) {
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
			target: this.#target.id, kind, detail, fence: this.#fence, runs: this.#runs.size,
		});
		if (kind === 'replaced') {
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

	#endAll(cause: string): void {
		for (const run of this.#runs.values()) {
			this.#end(run, {kind: 'gone', target: this.#target.id, cause});
		}
	}

	#end(run: Run, outcome: RunOutcome): void {
		this.#remove(run);
		this.parts.listener.onDidEndRun(run, outcome);
	}

	#isCurrent(run: Run): boolean {
		return this.#runs.get(runKeyOf(run.request)) === run;
	}

	async #pause(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = this.parts.clock.schedule(milliseconds, resolve);
		});
	}
}
