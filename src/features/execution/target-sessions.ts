/** The sessions of all targets that this entry owns. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {UncountedTime} from '../../runtime/uncounted-time.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {TargetOrders} from '../targets/target-orders.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {Adoption} from './adoption.js';
import {ResponseTimes} from './response-times.js';
import type {Handover} from './handover.js';
import type {LossHistory} from './loss-history.js';
import type {OwnedTarget} from './owned-target.js';
import type {RunOutcome} from './run-outcome.js';
import type {Run} from './run.js';
import {TargetSession} from './target-session.js';

/** A handover that nobody took is forgotten when all that it names has ended with its lease. */
const handoverMilliseconds = 1500;

/** A former owner's word, with the time at which it came. */
type ReceivedHandover = {readonly handover: Handover; readonly at: number};

/** What the sessions work with. */
type TargetSessionsParts = {
	readonly leaseMilliseconds: number;
	readonly orders: TargetOrders;
	readonly health: TargetHealth;
	readonly losses: LossHistory;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: {
		readonly onDidEndRun: (session: TargetSession, run: Run, outcome: RunOutcome) => void;
		/** A target told what runs there and what has ended. */
		readonly onDidReport: (session: TargetSession) => void;
		/** A target's clock has gone on by so much more than this entry's. */
		readonly onDidCompareClocks: (uncounted: UncountedTime) => void;
		/** There may be more room than before. */
		readonly onDidChange: () => void;
	};
};

/** Opens a session for each target that comes, with what its former owner has handed over, and gives up those that go. */
export class TargetSessions implements Iterable<TargetSession>, Disposable {
	readonly #sessions = new Map<InstanceId, TargetSession>();
	/** The highest token that a target rejected: it isn't ordered again with that one or a lower one. */
	readonly #fenced = new Map<InstanceId, FencingToken>();
	readonly #handovers = new Map<InstanceId, ReceivedHandover>();
	readonly #adopt = new Emitter<Adoption>();
	readonly #willRelease = new Emitter<Run>();
	readonly #answerTimes = new ResponseTimes();

	constructor(private readonly parts: TargetSessionsParts) {}

	/** Fires when a former owner's run goes on under this entry. */
	get onDidAdopt() {
		return this.#adopt.event;
	}

	/** Fires for each run before its target is given up; one that is stopped then isn't handed over. */
	get onWillRelease() {
		return this.#willRelease.event;
	}

	get size(): number {
		return this.#sessions.size;
	}

	[Symbol.iterator](): Iterator<TargetSession> {
		return this.#sessions.values();
	}

	/** Opens sessions for targets that came, and updates the others; those that went are dropped with their runs' lease. */
	assign(owned: ReadonlyMap<InstanceId, OwnedTarget>): void {
		for (const [id, session] of this.#sessions) {
			if (!owned.has(id)) {
				this.#drop(id, session);
			}
		}

		for (const [id, {target, fence}] of owned) {
			this.#ensure(id, target, fence);
		}
	}

	/** Has some targets take no new tasks, and asks who runs something there whether that is to go on. */
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

	/** Gives up a target so that the next owner can go on with what runs there; returns what it has to know. */
	release(session: TargetSession): Handover {
		const {id} = session.target;
		this.#sessions.delete(id);
		const handover = session.release();
		this.parts.orders.disconnect(session.target);
		this.parts.journal.record('targetReleased', {target: id, fence: session.fence, handedOver: handover.runs.length});
		return handover;
	}

	/** Keeps a former owner's word until the target is this entry's. */
	expect(handover: Handover): void {
		const {clock} = this.parts;
		const received = {handover, at: clock.now()};
		const session = this.#sessions.get(handover.target);
		if (session !== undefined) {
			this.#adoptInto(session, received);
			return;
		}

		this.#handovers.set(handover.target, received);
		clock.schedule(handoverMilliseconds, () => {
			if (this.#handovers.get(handover.target) === received) {
				this.#handovers.delete(handover.target);
			}
		});
	}

	dispose(): void {
		for (const session of this.#sessions.values()) {
			session.dispose();
		}

		this.#sessions.clear();
	}

	#ensure(id: InstanceId, target: TargetRecord, fence: FencingToken): void {
		const known = this.#sessions.get(id);
		if (known !== undefined) {
			known.update(target, fence);
			return;
		}

		if ((this.#fenced.get(id) ?? -1) >= fence) {
			return;
		}

		this.#open(id, target, fence);
	}

	#open(id: InstanceId, target: TargetRecord, fence: FencingToken): void {
		const session = this.#sessionOf(id, target, fence);
		this.#sessions.set(id, session);
		const received = this.#handovers.get(id);
		this.#handovers.delete(id);
		if (received !== undefined) {
			this.#adoptInto(session, received);
		}

		this.parts.journal.record('targetOwned', {target: id, fence, adopted: received?.handover.runs.length ?? 0});
		session.open();
	}

	#sessionOf(id: InstanceId, target: TargetRecord, fence: FencingToken): TargetSession {
		const {leaseMilliseconds, orders, clock, journal} = this.parts;
		const session: TargetSession = new TargetSession({
			target, fence, leaseMilliseconds, orders, answerTimes: this.#answerTimes, clock, journal, listener: {
				onDidEndRun: (run, outcome) => {
					this.parts.listener.onDidEndRun(session, run, outcome);
				},
				onDidReport: () => {
					this.parts.listener.onDidReport(session);
				},
				onDidLose: (status, incarnation, tasks) => {
					this.parts.losses.record({
						target: id, incarnation, status, tasks,
					});
				},
				onDidAnswer: incarnation => {
					this.parts.losses.recordAnswer(id, incarnation);
				},
				onDidRestart: () => {
					this.parts.health.forget(id);
				},
				onDidCompareClocks: uncounted => {
					this.parts.listener.onDidCompareClocks(uncounted);
				},
				onDidChange: () => {
					this.parts.listener.onDidChange();
				},
				onDidEnd: cause => {
					this.#sessionEnded(session, cause);
				},
			},
		});
		return session;
	}

	#adoptInto(session: TargetSession, {handover, at}: ReceivedHandover): void {
		session.adopt(handover);
		for (const {request, requester} of handover.runs) {
			this.#adopt.fire({requester, request, handedOverAt: at});
		}
	}

	#drop(id: InstanceId, session: TargetSession): void {
		this.#sessions.delete(id);
		session.abandon();
		this.parts.orders.disconnect(session.target);
		this.parts.journal.record('targetDropped', {target: id});
	}

	#sessionEnded(session: TargetSession, cause: 'fenced' | 'replaced'): void {
		const {id} = session.target;
		this.#sessions.delete(id);
		this.parts.orders.disconnect(session.target);
		if (cause === 'fenced') {
			this.#fenced.set(id, session.fence);
		}

		this.parts.listener.onDidChange();
	}
}
