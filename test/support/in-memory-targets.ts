/** In-memory targets for tests of the owners that send them orders. */
import type {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';
import type {Incarnation} from '../../src/base/incarnation.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {TargetTime} from '../../src/base/target-time.js';
import type {TaskId} from '../../src/base/task-id.js';
import type {OrderFailure} from '../../src/features/targets/order-failure.js';
import type {RenewalOrder} from '../../src/features/targets/renewal-order.js';
import type {RenewalReply} from '../../src/features/targets/renewal-reply.js';
import type {RunEnd} from '../../src/features/targets/run-end.js';
import type {StartOrder} from '../../src/features/targets/start-order.js';
import type {StartReply} from '../../src/features/targets/start-reply.js';
import type {StopOrder} from '../../src/features/targets/stop-order.js';
import type {StopReply} from '../../src/features/targets/stop-reply.js';
import {TargetOrders} from '../../src/features/targets/target-orders.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';

/** Longer leases are shortened to this. */
const maximumLeaseMilliseconds = 1000;

type OrderKind = 'start' | 'stop' | 'renewal';
/** The kinds of orders that a target replies to, by its behaviour; none for a behaviour that isn't listed. */
const answeredOrders: Readonly<Record<string, readonly OrderKind[]>> = {
	answers: ['start', 'stop', 'renewal'], 'loses reports': ['start', 'stop'], 'loses start answers': ['stop', 'renewal'], 'loses starts': ['stop', 'renewal'],
};

type ActiveRun = {readonly task: TaskId; readonly attempt: number; readonly endTimer: Disposable};
type TargetState = {
	readonly incarnation: Incarnation;
	readonly startedAt: number;
	isReplaced: boolean;
	fence: number;
	leaseUntil: number;
	endCount: number;
	readonly runs: Map<string, ActiveRun>;
	readonly stopped: Map<string, number>;
	ended: RunEnd[];
	/** Pending renewals, each waiting for a run end with a number above the one it acknowledged. */
	readonly waiting: Set<{readonly acknowledged: number; readonly wake: () => void}>;
};

/** Processor capacity that each task needs, in thousandths of a core. */
const taskCpuMillis = 27_000;
/** A task with this payload crashes its target, which restarts under the same id after `downtimeMilliseconds`. */
const crashingPayload = 'crashes its target';
const crashDelayMilliseconds = 20;
const downtimeMilliseconds = 2000;

/**
 * Runs each task for the number of milliseconds in its payload; a payload that isn't a number fails the task, or crashes the
 * target. Leases expire and fencing tokens are checked; `behaviour` makes a target fail.
 */
export class InMemoryTargets extends TargetOrders {
	/**
	 * `silent`: ignores every order. `loses answers`, `loses reports`, `loses start answers`: executes orders, but any reply, the
	 * replies to renewals or those to starts are lost. `loses starts`: starts never arrive. `refuses`: connections are refused.
	 */
	readonly behaviour = new Map<InstanceId, 'answers' | 'silent' | 'loses answers' | 'loses reports' | 'loses start answers' | 'loses starts' | 'refuses'>();
	/** Targets that reject a start beyond this processor capacity; other targets accept every start. */
	readonly enforcedCpuMillis = new Map<InstanceId, number>();
	/** How many of the next stops to a target get lost on the way; they count down. */
	readonly lostStops = new Map<InstanceId, number>();
	/** Factor by which a target's tasks run longer than their payload says. */
	readonly slowdown = new Map<InstanceId, number>();
	/** Targets that were crashed by a task, in order. */
	readonly crashes: InstanceId[] = [];
	/** Executed starts, in order. */
	readonly starts: Array<{readonly target: InstanceId; readonly task: TaskId; readonly attempt: number}> = [];
	/** The payloads of the executed starts, in the same order. */
	readonly payloads: string[] = [];
	/** The highest number of concurrent runs of one task. */
	peakConcurrentRuns = 0;
	/** Number of orders of any kind. */
	orderCount = 0;
	readonly #targets = new Map<InstanceId, TargetState>();

	constructor(private readonly clock: Clock) {
		super();
	}

	override async start(target: TargetRecord, order: StartOrder): Promise<StartReply> {
		return this.#execute(target.id, 'start', order.limitMilliseconds, () => this.executeStart(target.id, order));
	}

	/** Executes a start immediately, regardless of the target's behaviour. */
	executeStart(id: InstanceId, order: StartOrder): StartReply {
		const state = this.#stateOf(id);
		const clock = this.#timeOf(state);
		if (order.fence < state.fence) {
			return {kind: 'fenced', detail: '', clock: this.#timeOf(state)};
		}

		state.fence = order.fence;
		if (order.leaseUntil <= clock) {
			return {kind: 'expired', clock};
		}

		if ((state.stopped.get(order.task) ?? 0) >= order.attempt) {
			return {kind: 'superseded', clock};
		}

		this.#renewLease(state, order.leaseUntil);
		if ((state.runs.size + 1) * taskCpuMillis > (this.enforcedCpuMillis.get(id) ?? Number.POSITIVE_INFINITY)) {
			return {kind: 'noRoom', clock};
		}

		this.#run(id, state, order);
		return {kind: 'started', clock};
	}

	override async stop(target: TargetRecord, order: StopOrder): Promise<StopReply> {
		return this.#execute(target.id, 'stop', order.limitMilliseconds, () => {
			const state = this.#stateOf(target.id);
			if (order.fence < state.fence) {
				return {kind: 'fenced', detail: '', clock: this.#timeOf(state)};
			}

			state.stopped.set(order.task, Math.max(order.attempt, state.stopped.get(order.task) ?? 0));
			this.#end(state, order.task, 'stopped');
			return {kind: 'accepted'};
		});
	}

	override async renew(target: TargetRecord, order: RenewalOrder): Promise<RenewalReply> {
		return this.#execute(target.id, 'renewal', order.waitMilliseconds + order.limitMilliseconds, async () => {
			const state = this.#stateOf(target.id);
			if (order.fence < state.fence) {
				return {kind: 'fenced', detail: '', clock: this.#timeOf(state)};
			}

			state.fence = order.fence;
			state.ended = state.ended.filter(end => end.number > order.acknowledged);
			if (order.leaseUntil !== undefined) {
				this.#renewLease(state, order.leaseUntil);
			}

			await this.#waitForEnd(state, order);
			if (state.isReplaced) {
				return {kind: 'unanswered', detail: 'the connection broke'};
			}

			return {
				kind: 'report', incarnation: state.incarnation, clock: this.#timeOf(state), running: [...state.runs.values()].map(({task, attempt}) => ({task, attempt})), ended: [...state.ended],
			};
		});
	}

	override disconnect(): void {
		// There are no connections.
	}

	/** Restarts a target under the same id; its runs and its state are lost. */
	restart(id: InstanceId): void {
		const state = this.#stateOf(id);
		state.isReplaced = true;
		for (const {endTimer} of state.runs.values()) {
			endTimer.dispose();
		}

		state.runs.clear();
		for (const {wake} of state.waiting) {
			wake();
		}

		this.#targets.set(id, this.#createState((state.incarnation + 1) as Incarnation));
	}

	/** Restarts a target and keeps it silent for `downtimeMilliseconds`. */
	crash(id: InstanceId): void {
		this.crashes.push(id);
		this.restart(id);
		this.behaviour.set(id, 'silent');
		this.clock.schedule(downtimeMilliseconds, () => {
			this.behaviour.delete(id);
		});
	}

	running(id: InstanceId): readonly TaskId[] {
		return [...this.#stateOf(id).runs.values()].map(({task}) => task);
	}

	async #execute<Reply>(id: InstanceId, kind: OrderKind, limitMilliseconds: number, action: () => Reply | Promise<Reply>): Promise<Reply | OrderFailure> {
		this.orderCount += 1;
		if (kind === 'stop' && this.#losesStop(id)) {
			return this.#timeOut(limitMilliseconds);
		}

		const behaviour = this.behaviour.get(id) ?? 'answers';
		if (behaviour === 'refuses') {
			return {kind: 'unreachable', detail: 'refused'};
		}

		const answered = answeredOrders[behaviour] ?? [];
		const isAnswered = answered.includes(kind);
		if (isAnswered) {
			return action();
		}

		if (behaviour !== 'silent' && behaviour !== 'loses starts') {
			void action();
		}

		return this.#timeOut(limitMilliseconds);
	}

	async #timeOut(limitMilliseconds: number): Promise<OrderFailure> {
		await new Promise<void>(resolve => {
			this.clock.schedule(limitMilliseconds, resolve);
		});
		return {kind: 'unanswered', detail: 'no answer'};
	}

	#losesStop(id: InstanceId): boolean {
		const lost = this.lostStops.get(id) ?? 0;
		this.lostStops.set(id, Math.max(0, lost - 1));
		return lost > 0;
	}

	async #waitForEnd(state: TargetState, {waitMilliseconds, acknowledged}: RenewalOrder): Promise<void> {
		if (waitMilliseconds === 0 || state.ended.length > 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const waiting = {acknowledged, wake: resolve};
			state.waiting.add(waiting);
			this.clock.schedule(waitMilliseconds, () => {
				state.waiting.delete(waiting);
				resolve();
			});
		});
	}

	#run(id: InstanceId, state: TargetState, {task, attempt, payload}: StartOrder): void {
		const endTimer = payload === crashingPayload ? this.#scheduleCrash(id) : this.#scheduleEnd(id, state, {task, payload});
		state.runs.set(task, {task, attempt, endTimer});
		this.starts.push({target: id, task, attempt});
		this.payloads.push(payload);
		const concurrentRuns = [...this.#targets.values()].filter(other => other.runs.has(task)).length;
		this.peakConcurrentRuns = Math.max(this.peakConcurrentRuns, concurrentRuns);
	}

	#scheduleCrash(id: InstanceId): Disposable {
		return this.clock.schedule(crashDelayMilliseconds, () => {
			this.crash(id);
		});
	}

	#scheduleEnd(id: InstanceId, state: TargetState, {task, payload}: Pick<StartOrder, 'task' | 'payload'>): Disposable {
		const milliseconds = Number(payload);
		return this.clock.schedule(Number.isNaN(milliseconds) ? 1 : milliseconds * (this.slowdown.get(id) ?? 1), () => {
			this.#end(state, task, Number.isNaN(milliseconds) ? 'failed' : 'done');
		});
	}

	#end(state: TargetState, task: TaskId, how: RunEnd['how']): void {
		const run = state.runs.get(task);
		if (run === undefined) {
			return;
		}

		run.endTimer.dispose();
		state.runs.delete(task);
		state.stopped.set(task, Math.max(run.attempt, state.stopped.get(task) ?? 0));
		state.endCount += 1;
		state.ended.push({
			number: state.endCount, task, attempt: run.attempt, how,
		});
		for (const {acknowledged, wake} of state.waiting) {
			if (state.endCount > acknowledged) {
				wake();
			}
		}
	}

	#timeOf({startedAt}: TargetState): TargetTime {
		return this.clock.now() - startedAt as TargetTime;
	}

	#renewLease(state: TargetState, until: number): void {
		const clock = this.#timeOf(state);
		const end = Math.min(until, clock + maximumLeaseMilliseconds);
		state.leaseUntil = Math.max(state.leaseUntil, end);
		this.clock.schedule(Math.max(0, end - clock), () => {
			if (this.#timeOf(state) >= state.leaseUntil) {
				for (const task of state.runs.keys()) {
					this.#end(state, task as TaskId, 'lapsed');
				}
			}
		});
	}

	#stateOf(id: InstanceId): TargetState {
		const existing = this.#targets.get(id);
		if (existing !== undefined) {
			return existing;
		}

		const state = {...this.#createState(1 as Incarnation), startedAt: 0};
		this.#targets.set(id, state);
		return state;
	}

	#createState(incarnation: Incarnation): TargetState {
		return {
			incarnation, startedAt: this.clock.now(), isReplaced: false, fence: 0, leaseUntil: 0, endCount: 0, runs: new Map(), stopped: new Map(), ended: [], waiting: new Set(),
		};
	}
}
