/** The sessions of all targets that this entry owns. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {ClockGap} from '../../runtime/clock-gap.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {TargetOrders} from '../targets/target-orders.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {Adoption} from './adoption.js';
import type {Handover} from './handover.js';
import type {LossHistory} from './loss-history.js';
import type {OwnedTarget} from './owned-target.js';
import {ResponseTimes} from './response-times.js';
import {RunCounts} from './run-counts.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';
import {TargetClocks} from './target-clocks.js';
import {TargetSession} from './target-session.js';
import type {TargetSpeeds} from './target-speeds.js';

/** How long an unused handover is kept; longer than the lease of the runs in it. */
const handoverRetentionMilliseconds = 1500;

/** A handover and the monotonic time of its arrival. */
type ReceivedHandover = {readonly handover: Handover; readonly at: number};

/** Dependencies of the sessions. */
type TargetSessionsParts = {
	readonly leaseMilliseconds: number;
	readonly lastContact: (requester: MemberId) => number;
	readonly contactAtHandover: (requester: MemberId) => number;
	readonly checkPause: () => void;
	readonly orders: TargetOrders;
	readonly health: TargetHealth;
	readonly speeds?: TargetSpeeds | undefined;
	readonly losses: LossHistory;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: {
		readonly onDidEndRun: (session: TargetSession, run: Run, outcome: RunOutcome) => void;
		/** Called after each report of a target. */
		readonly onDidReport: (session: TargetSession) => void;
		/** Called with the time by which a target's clock advanced more than this entry's. */
		readonly onDidCompareClocks: (gap: ClockGap) => void;
		/** Called when free capacity may have grown. */
		readonly onDidChange: () => void;
	};
};

/** Opens a session for each newly owned target, with the runs handed over by its former owner, and closes the others. */
export class TargetSessions implements Iterable<TargetSession>, Disposable {
	readonly clocks = new TargetClocks();
	readonly #sessions = new Map<InstanceId, TargetSession>();
	/** Closed sessions with runs that go on until their lease has passed. */
	readonly #closing = new Set<TargetSession>();
	/** The highest token that each target rejected; no session is opened with that token or a lower one. */
	readonly #rejectedTokens = new Map<InstanceId, FencingToken>();
	readonly #handovers = new Map<InstanceId, ReceivedHandover>();
	readonly #adopted = new Emitter<Adoption>();
	readonly #willRelease = new Emitter<Run>();
	readonly #responseTimes = new ResponseTimes();
	/** Of the open sessions, and the closed ones that still have runs. */
	readonly #runCounts = new RunCounts();

	constructor(private readonly parts: TargetSessionsParts) {}

	/** Fires when a run is adopted from a former owner. */
	get onDidAdopt() {
		return this.#adopted.event;
	}

	/** Fires for each run before its target is released; a run that a listener stops isn't handed over. */
	get onWillRelease() {
		return this.#willRelease.event;
	}

	/** Whether any attempt of a task may be running on a target. */
	isRunning(task: TaskId): boolean {
		return this.#runCounts.has(task);
	}

	get size(): number {
		return this.#sessions.size;
	}

	[Symbol.iterator](): Iterator<TargetSession> {
		return this.#sessions.values();
	}

	/** The open sessions, and the closed ones that still have runs. */
	* withClosing(): Iterable<TargetSession> {
		yield * this.#sessions.values();
		yield * this.#closing;
	}

	/** Opens sessions for new targets, updates existing ones, and abandons those of targets that are no longer owned. */
	assign(owned: ReadonlyMap<InstanceId, OwnedTarget>): void {
		for (const [id, session] of this.#sessions) {
			if (!owned.has(id)) {
				this.#drop(id, session);
			}
		}

		for (const [id, {target, fence}] of owned) {
			this.#openOrUpdate(id, target, fence);
		}
	}

	/** Pauses the given targets, and fires `onWillRelease` for each of their runs. */
	prepareRelease(ids: ReadonlySet<InstanceId>): readonly TargetSession[] {
		const leaving = [...this.#sessions.values()].filter(session => ids.has(session.target.id));
		for (const session of leaving) {
			session.pause();
			for (const run of session.runs) {
				this.#willRelease.fire(run);
			}
		}

		return leaving;
	}

	/** Closes a target's session and returns the runs for the next owner. */
	release(session: TargetSession): Handover {
		const {id} = session.target;
		this.#sessions.delete(id);
		const handover = session.release();
		this.#retire(session);
		this.parts.journal.record('targetReleased', {target: id, fence: session.fence, handedOver: handover.runs.length});
		return handover;
	}

	/** Adopts the runs of a handover, now or once the target is owned. */
	receiveHandover(handover: Handover): void {
		const {clock} = this.parts;
		const received = {handover, at: clock.now()};
		const session = this.#sessions.get(handover.target);
		if (session !== undefined) {
			this.#adoptRuns(session, received);
			return;
		}

		this.#handovers.set(handover.target, received);
		clock.schedule(handoverRetentionMilliseconds, () => {
			if (this.#handovers.get(handover.target) === received) {
				this.#handovers.delete(handover.target);
			}
		});
	}

	/** Makes the runs that nobody waits for count as abandoned earlier. */
	makeAbandonedEarlier(milliseconds: number): void {
		for (const session of this.withClosing()) {
			for (const run of session.runs) {
				run.abandonedAt = run.abandonedAt === undefined ? undefined : run.abandonedAt - milliseconds;
			}
		}
	}

	dispose(): void {
		for (const session of this.withClosing()) {
			session.dispose();
		}

		this.#sessions.clear();
		this.#closing.clear();
	}

	#openOrUpdate(id: InstanceId, target: TargetRecord, fence: FencingToken): void {
		const known = this.#sessions.get(id);
		if (known !== undefined) {
			known.update(target, fence);
			return;
		}

		if ((this.#rejectedTokens.get(id) ?? -1) >= fence) {
			return;
		}

		this.#open(id, target, fence);
	}

	#open(id: InstanceId, target: TargetRecord, fence: FencingToken): void {
		const session = this.#createSession(id, target, fence);
		this.#sessions.set(id, session);
		const received = this.#handovers.get(id);
		this.#handovers.delete(id);
		if (received !== undefined) {
			this.#adoptRuns(session, received);
		}

		this.parts.journal.record('targetOwned', {target: id, fence, adopted: received?.handover.runs.length ?? 0});
		session.open();
	}

	#createSession(id: InstanceId, target: TargetRecord, fence: FencingToken): TargetSession {
		const {leaseMilliseconds, lastContact, contactAtHandover, checkPause, orders, clock, journal} = this.parts;
		const session: TargetSession = new TargetSession({
			target,
			fence,
			leaseMilliseconds,
			clockOffsets: this.clocks.of(id, clock.now(), other => this.#sessions.has(other)),
			lastContact,
			contactAtHandover,
			checkPause,
			orders,
			responseTimes: this.#responseTimes,
			runCounts: this.#runCounts,
			clock,
			journal,
			listener: {
				onDidEndRun: (run, outcome) => {
					this.parts.listener.onDidEndRun(session, run, outcome);
					if (this.#closing.has(session) && !session.hasRuns) {
						this.#forget(session);
					}
				},
				onDidReport: () => {
					this.parts.listener.onDidReport(session);
				},
				onDidLoseTasks: (status, incarnation, tasks) => {
					this.parts.losses.record({
						target: id, incarnation, status, tasks,
					});
				},
				onDidAnswer: incarnation => {
					this.parts.losses.recordAnswer(id, incarnation);
				},
				onDidRestart: () => {
					this.parts.health.forget(id);
					this.parts.speeds?.forget(id);
				},
				onDidCompareClocks: gap => {
					this.parts.listener.onDidCompareClocks(gap);
				},
				onDidChange: () => {
					this.parts.listener.onDidChange();
				},
				onDidEnd: cause => {
					this.#handleSessionEnd(session, cause);
				},
			},
		});
		return session;
	}

	#adoptRuns(session: TargetSession, {handover, at}: ReceivedHandover): void {
		session.adopt(handover);
		for (const {request, requester} of handover.runs) {
			this.#adopted.fire({
				requester, request, handedOverAt: at, fence: session.fence,
			});
		}
	}

	#drop(id: InstanceId, session: TargetSession): void {
		this.#sessions.delete(id);
		session.abandon();
		this.#retire(session);
		this.parts.journal.record('targetDropped', {target: id});
	}

	#handleSessionEnd(session: TargetSession, cause: 'fenced' | 'replaced'): void {
		const {id} = session.target;
		this.#sessions.delete(id);
		this.#retire(session);
		if (cause === 'fenced') {
			this.#rejectedTokens.set(id, session.fence);
		}

		this.parts.listener.onDidChange();
	}

	/** Keeps a closed session while it has runs, so that they can be stopped. Closes connections at once, since starts may still wait for one. */
	#retire(session: TargetSession): void {
		this.parts.orders.disconnect(session.target);
		if (session.hasRuns) {
			this.#closing.add(session);
		}
	}

	/** Forgets a closed session without runs, and closes the connections that its stops have opened. */
	#forget(session: TargetSession): void {
		this.#closing.delete(session);
		const isInUse = [...this.withClosing()].some(({target}) => target.id === session.target.id);
		if (!isInUse) {
			this.parts.orders.disconnect(session.target);
		}
	}
}
