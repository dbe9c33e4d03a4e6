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
 * How long a request is remembered: as long as its sender may send it again. After a lost connection that's within a second; an
 * entry that stood still repeats what it had asked for as it goes on, when its callers have long submitted their jobs
 * again elsewhere. Begun anew here, their tasks would run twice at a time.
 */
const rememberedMilliseconds = 30_000;
/** How long after its request a run's end is told again on a new connection: the requester may have missed it. */
const repeatedMilliseconds = 3000;

type Remembered = {
	readonly requester: MemberId;
	/** Another entry asked for the same run: its caller submitted again there. It's told when this one has ended. */
	successor: MemberId | undefined;
	readonly at: number;
	/** What its requester has to know: that it was adopted, then how it ended. */
	report: PoolMessage | undefined;
	isEnded: boolean;
};

/**
 * Starts what other entries ask for and reports how it ended. Requests and reports are sent again when a connection was
 * lost; a request that was seen before isn't started again.
 */
export class RemoteRuns implements Disposable {
	readonly #store = new DisposableStore();
	readonly #remembered = new Map<string, Remembered>();

	constructor(private readonly pool: Pool, private readonly executor: Executor, private readonly clock: Clock, private readonly journal: Journal) {
		this.#store.add(pool.onDidReceive(({from, message}) => {
			this.#receive(from.id, message);
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
				requester, successor: undefined, at: clock.now(), report: adopted, isEnded: false,
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
			requester: from, successor: undefined, at: this.clock.now(), report: undefined, isEnded: false,
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

	/**
	 * A request that was seen before: sent again after a lost connection, or by another entry, to which the caller of a lost
	 * one has submitted again. The latter has to wait for the former run's end, and take a higher attempt then.
	 */
	#repeat(from: MemberId, request: RunRequest, known: Remembered): void {
		if (known.requester !== from) {
			known.successor = from;
			if (known.isEnded) {
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
			known.isEnded = true;
			this.#tellSuccessor(known, task, attempt);
		}

		this.pool.send(requester, report);
	}

	#repeatReports(member: MemberId): void {
		this.#forgetOld();
		const now = this.clock.now();
		for (const {requester, report, at, isEnded} of this.#remembered.values()) {
			const mayBeMissed = !isEnded || now - at < repeatedMilliseconds;
			if (requester === member && report !== undefined && mayBeMissed) {
				this.pool.send(member, report);
			}
		}
	}

	/** Insertion order is age. */
	#forgetOld(): void {
		const now = this.clock.now();
		for (const [key, {at, isEnded}] of this.#remembered) {
			if (now - at < rememberedMilliseconds) {
				return;
			}

			if (isEnded || now - at > 10 * rememberedMilliseconds) {
				this.#remembered.delete(key);
			}
		}
	}
}

