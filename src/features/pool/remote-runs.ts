/** Runs that other entries asked this one for. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {ExecutionReport} from '../execution/execution-report.js';
import type {Executor} from '../execution/executor.js';
import {runKeyOf} from '../execution/run-key-of.js';
import type {RunRequest} from '../execution/run-request.js';
import type {Pool} from './pool.js';
import type {PoolMessage} from './pool-message.js';

/**
 * How long after its end a run is remembered: its requester repeats the request on a new connection if it has missed the end.
 * A requester that was silent for longer than it takes to be lost is refused by its epoch.
 */
const rememberedMilliseconds = 30_000;
/** How long after it a run's end is told again on a new connection: the requester may have missed it. */
const repeatedMilliseconds = 3000;

type Remembered = {
	readonly requester: MemberId;
	/** Another entry asked for the same run: its caller submitted again there. It's told when this one has ended. */
	successor: MemberId | undefined;
	readonly requestedAt: number;
	/** What its requester has to know: that it was adopted, then how it ended. */
	report: PoolMessage | undefined;
	endedAt: number | undefined;
};

/**
 * Starts what other entries ask for and reports how it ended. Requests and reports are sent again when a connection was
 * lost; a request that was seen before isn't started again.
 */
export class RemoteRuns implements Disposable {
	readonly #store = new DisposableStore();
	readonly #remembered = new Map<string, Remembered>();

	constructor(private readonly pool: Pool, private readonly executor: Executor, private readonly clock: Clock, private readonly journal: Journal) {
		this.#store.add(pool.onDidReceive(({from, message, isCurrent}) => {
			if (message.kind === 'run' && !isCurrent) {
				this.#refuseOutdated(from.id, message.request);
			} else {
				this.#receive(from.id, message);
			}
		}));
		this.#store.add(executor.onDidReport(report => {
			this.#report(report);
		}));
		this.#store.add(executor.onDidAdopt(({requester, request}) => {
			if (requester !== pool.self && !pool.reach(requester)) {
				// It can't be told that the run goes on, and begins the task elsewhere once the lease should have passed.
				executor.stop(request.task, request.attempt, 'its entry is not heard here');
				return;
			}

			const adopted: PoolMessage = {kind: 'adopted', task: request.task, attempt: request.attempt};
			this.#remembered.set(runKeyOf(request), {
				requester, successor: undefined, requestedAt: clock.now(), report: adopted, endedAt: undefined,
			});
			pool.send(requester, adopted);
		}));
		this.#store.add(pool.onDidLose(member => {
			// The entry's job may be submitted again elsewhere: nothing of it may run beside that.
			executor.stopRunsOf(member, 'its entry is lost');
		}));
		this.#store.add(pool.onDidReconnect(member => {
			this.#repeatReports(member);
		}));
	}

	dispose(): void {
		this.#store.dispose();
	}

	#receive(from: MemberId, message: PoolMessage): void {
		if (message.kind === 'run') {
			this.#run(from, message.request);
			return;
		}

		if (message.kind === 'stop') {
			this.executor.stop(message.task, message.attempt, message.cause);
			return;
		}

		for (const handover of message.kind === 'handover' ? message.handovers : []) {
			this.executor.expect(handover);
		}
	}

	#run(from: MemberId, request: RunRequest): void {
		const key = runKeyOf(request);
		const known = this.#remembered.get(key);
		if (known !== undefined) {
			this.#repeat(from, request, known);
			return;
		}

		this.#forgetOld();
		this.#remembered.set(key, {
			requester: from, successor: undefined, requestedAt: this.clock.now(), report: undefined, endedAt: undefined,
		});
		if (this.executor.start(request, from) === undefined) {
			this.journal.record('runRefused', {task: request.task, attempt: request.attempt, requester: from});
			this.#report({
				requester: from, task: request.task, attempt: request.attempt, outcome: {kind: 'refused', cause: 'noRoom'},
			});
			// Others have filled what it was told of. With the old picture it would send the task to the next full target here: in
			// the first second after a loss of all entries three of four tasks that were sent were refused.
			this.pool.tellMember(from);
		}
	}

	/** Its job was stopped here when the epoch changed; its callers may have submitted elsewhere since. */
	#refuseOutdated(from: MemberId, {task, attempt}: RunRequest): void {
		this.journal.record('requestOutdated', {task, attempt, requester: from});
		this.pool.send(from, {
			kind: 'report', task, attempt, outcome: {kind: 'refused', cause: 'outdated'},
		});
	}

	/**
	 * A request that was seen before: sent again after a lost connection, or by another entry, to which the caller of a lost
	 * one has submitted again. The latter has to wait for the former run's end, and take a higher attempt then.
	 */
	#repeat(from: MemberId, request: RunRequest, known: Remembered): void {
		if (known.requester !== from) {
			known.successor = from;
			if (known.endedAt !== undefined) {
				this.#tellSuccessor(known, request.task, request.attempt);
			}
		} else if (known.report !== undefined) {
			this.pool.send(from, known.report);
		}
	}

	#tellSuccessor(known: Remembered, task: TaskId, attempt: number): void {
		if (known.successor !== undefined) {
			this.pool.send(known.successor, {
				kind: 'report', task, attempt, outcome: {kind: 'refused', cause: 'superseded'},
			});
		}
	}

	#report({requester, task, attempt, outcome}: ExecutionReport): void {
		if (requester === this.pool.self) {
			return;
		}

		const report: PoolMessage = {
			kind: 'report', task, attempt, outcome,
		};
		const known = this.#remembered.get(runKeyOf({task, attempt}));
		if (known !== undefined) {
			known.report = report;
			known.endedAt ??= this.clock.now();
			this.#tellSuccessor(known, task, attempt);
		}

		this.pool.send(requester, report);
	}

	#repeatReports(member: MemberId): void {
		this.#forgetOld();
		const now = this.clock.now();
		for (const {requester, report, endedAt} of this.#remembered.values()) {
			const mayBeMissed = endedAt === undefined || now - endedAt < repeatedMilliseconds;
			if (requester === member && report !== undefined && mayBeMissed) {
				this.pool.send(member, report);
			}
		}
	}

	/** Insertion order is age. */
	#forgetOld(): void {
		const now = this.clock.now();
		for (const [key, {requestedAt, endedAt}] of this.#remembered) {
			if (now - requestedAt < rememberedMilliseconds) {
				return;
			}

			const isForgotten = endedAt !== undefined && now - endedAt >= rememberedMilliseconds;
			if (isForgotten || now - requestedAt > 10 * rememberedMilliseconds) {
				this.#remembered.delete(key);
			}
		}
	}
}

