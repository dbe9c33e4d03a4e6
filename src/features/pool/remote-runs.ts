/** Runs that other entries asked this one for. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Adoption} from '../execution/adoption.js';
import type {ExecutionReport} from '../execution/execution-report.js';
import type {Executor} from '../execution/executor.js';
import {runKeyOf} from '../execution/run-key-of.js';
import type {RunRequest} from '../execution/run-request.js';
import {heartbeats} from './heartbeats.js';
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
	readonly requestedAt: number;
	/** What its requester has to know: that it was adopted, then how it ended. */
	lastWord: PoolMessage | undefined;
	endedAt: number | undefined;
	/** Whether its requester is known to know that it runs here. */
	isAdoptionHeard: boolean;
};

/** A request for a task that still runs here for somebody else: its caller has submitted again. */
type WaitingRequest = {readonly from: MemberId; readonly attempt: number};

/**
 * Starts what other entries ask for and reports how it ended. Requests and reports are sent again when a connection was
 * lost; a request that was seen before isn't started again.
 */
export class RemoteRuns implements Disposable {
	readonly #store = new DisposableStore();
	readonly #remembered = new Map<string, Remembered>();
	readonly #waiting = new Map<TaskId, WaitingRequest[]>();

	constructor(private readonly pool: Pool, private readonly executor: Executor, private readonly clock: Clock, private readonly journal: Journal) {
		this.#store.add(pool.onDidReceive(({from, message, isCurrent}) => {
			if (message.kind === 'run' && !isCurrent && !this.#isKnown(from.id, message.request)) {
				this.#refuseOutdated(from.id, message.request);
			} else {
				this.#receive(from.id, message);
			}
		}));
		this.#store.add(executor.onDidReport(report => {
			this.#report(report);
		}));
		this.#store.add(executor.onDidAdopt(adoption => {
			if (adoption.requester !== pool.self) {
				this.#adopt(adoption);
			}
		}));
		this.#store.add(executor.onWillRelease(({requester, request}) => {
			this.#forgetAdoption(request);
			// Its entry may be gone. Without an owner the run would go on for the rest of its lease, beside the caller's next submission.
			if (requester !== pool.self && !pool.isResponsive(requester)) {
				executor.stop(request.task, request.attempt, 'its entry was not heard when the target changed hands');
			}
		}));
		this.#store.add(pool.onDidLoseMember(member => {
			// The entry's job may be submitted again elsewhere: nothing of it may run beside that.
			executor.stopRunsOf(member, 'its entry is lost');
			for (const task of this.#waiting.keys()) {
				this.#stopWaiting(member, task);
			}
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
			this.#stop(from, message);
			return;
		}

		if (message.kind === 'adoptionHeard') {
			this.#noteHeard(from, message);
			return;
		}

		for (const handover of message.kind === 'handover' ? message.handovers : []) {
			this.executor.receiveHandover(handover);
		}
	}

	#adopt({requester, request, handedOverAt}: Adoption): void {
		const {task, attempt} = request;
		if (!this.pool.ensureMember(requester)) {
			// It can't be told that the run goes on, and begins the task elsewhere once the lease should have passed.
			this.executor.stop(task, attempt, 'its entry is not heard here');
			return;
		}

		const now = this.clock.now();
		const adopted: PoolMessage = {kind: 'adopted', task, attempt};
		const run: Remembered = {
			requester, requestedAt: now, lastWord: adopted, endedAt: undefined, isAdoptionHeard: false,
		};
		this.#remembered.set(runKeyOf(request), run);
		this.pool.send(requester, adopted);
		// The silence before the handover counts: the entry would have been lost so long after it by the former owner.
		const silenceLeft = heartbeats.active.timeoutMilliseconds - this.pool.reportedSilence(requester);
		this.clock.schedule(Math.max(0, handedOverAt + silenceLeft - now), () => {
			if (!run.isAdoptionHeard && run.endedAt === undefined) {
				this.executor.stop(task, attempt, 'its entry has not heard of its next owner');
			}
		});
	}

	#run(from: MemberId, request: RunRequest): void {
		const key = runKeyOf(request);
		const known = this.#remembered.get(key);
		if (known?.requester === from) {
			this.#repeat(known);
			return;
		}

		if (this.executor.isRunning(request.task)) {
			this.#wait(from, request);
			return;
		}

		if (known !== undefined) {
			this.#tellSuperseded({from, attempt: request.attempt}, request.task);
			return;
		}

		this.#forgetOld();
		this.#remembered.set(key, {
			requester: from, requestedAt: this.clock.now(), lastWord: undefined, endedAt: undefined, isAdoptionHeard: true,
		});
		if (this.executor.start(request, from) === undefined) {
			this.journal.record('runRefused', {task: request.task, attempt: request.attempt, requester: from});
			this.#report({
				requester: from, task: request.task, attempt: request.attempt, outcome: {kind: 'refused', cause: 'noRoom'},
			});
			// Others have filled what it was told of. With the old picture it would send the task to the next full target here: in
			// the first second after a loss of all entries three of four tasks that were sent were refused.
			this.pool.sendState(from);
		}
	}

	/** Whether the same entry has asked for a run before, whose end it's told. */
	#isKnown(from: MemberId, request: RunRequest): boolean {
		return this.#remembered.get(runKeyOf(request))?.requester === from;
	}

	/** What its sender had asked for was stopped when the epoch changed; its callers may have submitted elsewhere since. */
	#refuseOutdated(from: MemberId, {task, attempt}: RunRequest): void {
		this.journal.record('requestOutdated', {task, attempt, requester: from});
		this.#refuseForGood(from, {task, attempt}, 'outdated');
	}

	/** A request that was sent again after a lost connection; who repeats it here knows of an adoption. */
	#repeat(known: Remembered): void {
		known.isAdoptionHeard = true;
		if (known.lastWord !== undefined) {
			this.pool.send(known.requester, known.lastWord);
		}
	}

	/** The next owner tells of it: told again from here, it would have the requester order the wrong one. */
	#forgetAdoption(request: RunRequest): void {
		const known = this.#remembered.get(runKeyOf(request));
		if (known?.lastWord?.kind === 'adopted') {
			known.lastWord = undefined;
		}
	}

	#noteHeard(from: MemberId, run: {readonly task: TaskId; readonly attempt: number}): void {
		const known = this.#remembered.get(runKeyOf(run));
		if (known?.requester === from) {
			known.isAdoptionHeard = true;
		}
	}

	#wait(from: MemberId, {task, attempt}: RunRequest): void {
		this.#stopWaiting(from, task);
		this.#waiting.set(task, [...this.#waiting.get(task) ?? [], {from, attempt}]);
	}

	/** Its sender takes a higher attempt: the target may know this one as ended. */
	#tellSuperseded({from, attempt}: WaitingRequest, task: TaskId): void {
		this.pool.send(from, {
			kind: 'report', task, attempt, outcome: {kind: 'refused', cause: 'superseded'},
		});
	}

	#answerWaiting(task: TaskId): void {
		if (this.executor.isRunning(task)) {
			return;
		}

		for (const request of this.#waiting.get(task) ?? []) {
			this.#tellSuperseded(request, task);
		}

		this.#waiting.delete(task);
	}

	#stop(from: MemberId, {task, attempt, cause}: Extract<PoolMessage, {kind: 'stop'}>): void {
		const known = this.#remembered.get(runKeyOf({task, attempt}));
		if (known !== undefined && known.requester !== from) {
			this.#stopWaiting(from, task);
			return;
		}

		if (known === undefined) {
			this.#refuseForGood(from, {task, attempt}, 'superseded');
		} else {
			this.executor.stop(task, attempt, cause);
		}
	}

	#stopWaiting(from: MemberId, task: TaskId): void {
		const others = (this.#waiting.get(task) ?? []).filter(waiting => waiting.from !== from);
		if (others.length === 0) {
			this.#waiting.delete(task);
		} else {
			this.#waiting.set(task, others);
		}
	}

	/** Remembered as the attempt's end: the request may come after its stop, or be repeated in the present epoch. */
	#refuseForGood(from: MemberId, {task, attempt}: {readonly task: TaskId; readonly attempt: number}, cause: 'outdated' | 'superseded'): void {
		const report: PoolMessage = {
			kind: 'report', task, attempt, outcome: {kind: 'refused', cause},
		};
		const key = runKeyOf({task, attempt});
		const now = this.clock.now();
		if (!this.#remembered.has(key)) {
			this.#remembered.set(key, {
				requester: from, requestedAt: now, lastWord: report, endedAt: now, isAdoptionHeard: true,
			});
		}

		this.pool.send(from, report);
	}

	#report({requester, task, attempt, outcome}: ExecutionReport): void {
		this.#answerWaiting(task);
		if (requester === this.pool.self) {
			return;
		}

		const report: PoolMessage = {
			kind: 'report', task, attempt, outcome,
		};
		const known = this.#remembered.get(runKeyOf({task, attempt}));
		if (known !== undefined) {
			known.lastWord = report;
			known.endedAt ??= this.clock.now();
		}

		this.pool.send(requester, report);
	}

	#repeatReports(member: MemberId): void {
		this.#forgetOld();
		const now = this.clock.now();
		for (const {requester, lastWord, endedAt} of this.#remembered.values()) {
			const mayBeMissed = endedAt === undefined || now - endedAt < repeatedMilliseconds;
			if (requester === member && lastWord !== undefined && mayBeMissed) {
				this.pool.send(member, lastWord);
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

