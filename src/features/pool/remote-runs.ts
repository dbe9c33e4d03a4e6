/** Runs that peers have requested from this entry. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {JobId} from '../../base/job-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Adoption} from '../execution/adoption.js';
import type {ExecutionReport} from '../execution/execution-report.js';
import type {Executor} from '../execution/executor.js';
import {runKeyOf} from '../execution/run-key-of.js';
import type {RunRequest} from '../execution/run-request.js';
import type {Pool} from './pool.js';
import type {PoolMessage} from './pool-message.js';
import {WaitingRequests} from './waiting-requests.js';

/**
 * How long a finished run is kept, so that a request that is repeated on a new connection gets the outcome instead of a second run.
 * Requests from before a loss of the requester are rejected by their epoch.
 */
const retentionMilliseconds = 30_000;
/** How long after the end of a run its outcome is sent again on a new connection. */
const resendMilliseconds = 3000;
/**
 * How long after its last message a requester may take to acknowledge the new owner. Short enough that the run has been stopped when
 * the callers of a dead requester resubmit.
 */
const adoptionTimeoutMilliseconds = 1000;

/** A requester whose latest message was sent earlier may get no runs for that reason. */
const latestContactMilliseconds = 400;

/** A request that was on its way for longer is logged. */
const usualDelayMilliseconds = 200;

type TrackedRun = {
	readonly requester: MemberId;
	readonly requestedAt: number;
	/** The latest message to the requester: the adoption, then the outcome. */
	lastMessage: PoolMessage | undefined;
	endedAt: number | undefined;
	/** Whether the requester is known to have learned that the run is on this entry. */
	isAdoptionAcknowledged: boolean;
};

/** Dependencies of the runs. */
type RemoteRunsParts = {
	readonly pool: Pool;
	readonly executor: Executor;
	/** Refuses a start of a requester whose submission of the job is a former one, and returns whether it did. */
	readonly refuseFormer: (requester: MemberId, job: JobId) => boolean;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * Starts runs for peers and reports their outcomes. Requests and reports are sent again after a lost connection; a repeated request
 * starts nothing.
 */
export class RemoteRuns implements Disposable {
	readonly #store = new DisposableStore();
	readonly #runs = new Map<string, TrackedRun>();
	readonly #waiting = new WaitingRequests();

	constructor(private readonly parts: RemoteRunsParts) {
		const {pool, executor} = parts;
		this.#store.add(pool.onDidReceive(({from, message, isCurrent, sentAt}) => {
			if (message.kind === 'run') {
				this.#recordDelay(from.id, message.request, sentAt);
			}

			if (message.kind === 'run' && !isCurrent && !this.#isKnown(from.id, message.request)) {
				this.#refuseOutdated(from.id, message.request);
			} else {
				this.#handleMessage(from.id, message);
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
			// The requester may be gone, and the run would then continue until its lease expires, next to a resubmission by the caller.
			if (requester !== pool.self && !pool.isResponsive(requester)) {
				executor.stop(request.task, request.attempt, 'requester not responsive when the target changed owner');
			}
		}));
		this.#store.add(pool.onDidLoseMember(member => {
			// The caller may resubmit the job elsewhere, and its tasks must not run twice at the same time.
			executor.stopRunsOf(member, 'requester lost');
			this.#waiting.cancelAllOf(member);
		}));
		this.#store.add(pool.onDidReconnect(member => {
			this.#resendReports(member);
		}));
	}

	dispose(): void {
		this.#store.dispose();
	}

	#handleMessage(from: MemberId, message: PoolMessage): void {
		if (message.kind === 'run') {
			this.#handleRun(from, message.request);
			return;
		}

		if (message.kind === 'stop') {
			this.#handleStop(from, message);
			return;
		}

		if (message.kind === 'adoptionHeard') {
			this.#recordAcknowledgement(from, message);
			return;
		}

		for (const handover of message.kind === 'handover' ? message.handovers : []) {
			this.parts.executor.receiveHandover(handover);
		}
	}

	#adopt({requester, request, handedOverAt, fence}: Adoption): void {
		const {task, attempt} = request;
		if (!this.parts.pool.ensureMember(requester)) {
			// The requester can't be notified, and will start the task elsewhere when the lease expires.
			this.parts.executor.stop(task, attempt, 'requester not reachable');
			return;
		}

		const now = this.parts.clock.now();
		const adopted: PoolMessage = {
			kind: 'adopted', task, attempt, fence,
		};
		const run: TrackedRun = {
			requester, requestedAt: now, lastMessage: adopted, endedAt: undefined, isAdoptionAcknowledged: false,
		};
		this.#runs.set(runKeyOf(request), run);
		this.parts.pool.send(requester, adopted);
		// Includes the silence before the handover.
		const silenceLeft = adoptionTimeoutMilliseconds - this.parts.pool.reportedSilence(requester);
		this.parts.clock.schedule(Math.max(0, handedOverAt + silenceLeft - now), () => {
			if (!run.isAdoptionAcknowledged && run.endedAt === undefined) {
				this.parts.executor.stop(task, attempt, 'requester has not acknowledged the new owner');
			}
		});
	}

	#handleRun(from: MemberId, request: RunRequest): void {
		const key = runKeyOf(request);
		const known = this.#runs.get(key);
		if (known?.requester === from) {
			this.#recordNotStarted(from, request, 'repeated');
			// A requester that repeats a request here knows of the adoption.
			this.#recordAcknowledgement(from, request);
			this.#resend(known);
			return;
		}

		if (this.parts.refuseFormer(from, jobOfTask(request.task))) {
			this.#recordNotStarted(from, request, 'its job was submitted again through another entry');
			this.#reportSuperseded({from, attempt: request.attempt}, request.task);
			return;
		}

		if (this.parts.executor.isRunning(request.task)) {
			this.#recordNotStarted(from, request, 'waits for the end of another run of its task');
			this.#waiting.add(request.task, {from, attempt: request.attempt});
			return;
		}

		if (known !== undefined) {
			this.#recordNotStarted(from, request, 'ran for another requester');
			this.#reportSuperseded({from, attempt: request.attempt}, request.task);
			return;
		}

		this.#removeExpired();
		this.#runs.set(key, {
			requester: from, requestedAt: this.parts.clock.now(), lastMessage: undefined, endedAt: undefined, isAdoptionAcknowledged: true,
		});
		// A late task is refused if the requester's view of the free capacity is outdated, so that it can choose a faster target. If the
		// task has to avoid a target that is free, the published capacity would not show it, and the request would be repeated.
		const hasToBeInTime = (request.millisecondsToObjective ?? 0) > 0;
		const offer = this.parts.executor.offer(request, from);
		if (offer === undefined || (hasToBeInTime && !offer.isInTimeByCapacity)) {
			this.parts.journal.record('runRefused', {task: request.task, attempt: request.attempt, requester: from});
			this.#report({
				requester: from, task: request.task, attempt: request.attempt, outcome: {kind: 'refused', cause: 'noRoom'},
			});
			this.#sendFreeCapacity(from);
			return;
		}

		offer.accept();
	}

	/**
	 * The requester's view of the free capacity is outdated; without an update it would send the task to the next full target. One
	 * that is refused for its late messages would repeat the request at once.
	 */
	#sendFreeCapacity(requester: MemberId): void {
		if (this.parts.clock.now() - this.parts.pool.lastContact(requester) < latestContactMilliseconds) {
			this.parts.pool.sendState(requester);
		}
	}

	#recordDelay(from: MemberId, {task, attempt}: RunRequest, sentAt: number): void {
		const milliseconds = Math.round(this.parts.clock.now() - sentAt);
		if (milliseconds > usualDelayMilliseconds) {
			this.parts.journal.record('requestDelayed', {
				task, attempt, requester: from, milliseconds,
			});
		}
	}

	#recordNotStarted(from: MemberId, {task, attempt}: RunRequest, cause: string): void {
		this.parts.journal.record('runNotStarted', {
			task, attempt, requester: from, cause,
		});
	}

	/** Whether the same peer has already requested this run. */
	#isKnown(from: MemberId, request: RunRequest): boolean {
		return this.#runs.get(runKeyOf(request))?.requester === from;
	}

	/** Refuses a request of a previous epoch: the sender's runs were stopped, and its callers may have resubmitted elsewhere. */
	#refuseOutdated(from: MemberId, {task, attempt}: RunRequest): void {
		this.parts.journal.record('requestOutdated', {task, attempt, requester: from});
		this.#refusePermanently(from, {task, attempt}, 'outdated');
	}

	/** Answers a repeated request. */
	#resend(known: TrackedRun): void {
		if (known.lastMessage !== undefined) {
			this.parts.pool.send(known.requester, known.lastMessage);
		}
	}

	/** Forgets an adoption whose run is handed over again: only the new owner may announce it to the requester. */
	#forgetAdoption(request: RunRequest): void {
		const known = this.#runs.get(runKeyOf(request));
		if (known?.lastMessage?.kind === 'adopted') {
			known.lastMessage = undefined;
		}
	}

	#recordAcknowledgement(from: MemberId, run: {readonly task: TaskId; readonly attempt: number}): void {
		const known = this.#runs.get(runKeyOf(run));
		if (known?.requester === from) {
			known.isAdoptionAcknowledged = true;
			this.parts.executor.acknowledgeAdoption(run.task, run.attempt);
		}
	}

	/** Makes the requester retry with a higher attempt, since the target may know this one as finished. */
	#reportSuperseded({from, attempt}: {readonly from: MemberId; readonly attempt: number}, task: TaskId): void {
		this.parts.pool.send(from, {
			kind: 'report', task, attempt, outcome: {kind: 'refused', cause: 'superseded'},
		});
	}

	#answerWaiting(task: TaskId): void {
		if (this.parts.executor.isRunning(task)) {
			return;
		}

		for (const request of this.#waiting.take(task)) {
			this.#reportSuperseded(request, task);
		}
	}

	#handleStop(from: MemberId, {task, attempt, cause, unreadMilliseconds}: Extract<PoolMessage, {kind: 'stop'}>): void {
		const known = this.#runs.get(runKeyOf({task, attempt}));
		if (known !== undefined && known.requester !== from) {
			this.#waiting.cancel(task, from);
			return;
		}

		if (known === undefined) {
			this.#refusePermanently(from, {task, attempt}, 'superseded');
		} else {
			this.parts.executor.stop(task, attempt, cause, unreadMilliseconds);
		}
	}

	/** Stores the refusal as the outcome, since the request may arrive after its stop or be repeated in the current epoch. */
	#refusePermanently(from: MemberId, {task, attempt}: {readonly task: TaskId; readonly attempt: number}, cause: 'outdated' | 'superseded'): void {
		const report: PoolMessage = {
			kind: 'report', task, attempt, outcome: {kind: 'refused', cause},
		};
		const key = runKeyOf({task, attempt});
		const now = this.parts.clock.now();
		if (!this.#runs.has(key)) {
			this.#runs.set(key, {
				requester: from, requestedAt: now, lastMessage: report, endedAt: now, isAdoptionAcknowledged: true,
			});
		}

		this.parts.pool.send(from, report);
	}

	#report({requester, task, attempt, outcome}: ExecutionReport): void {
		this.#answerWaiting(task);
		if (requester === this.parts.pool.self) {
			return;
		}

		const report: PoolMessage = {
			kind: 'report', task, attempt, outcome,
		};
		const known = this.#runs.get(runKeyOf({task, attempt}));
		if (known !== undefined) {
			known.lastMessage = report;
			known.endedAt ??= this.parts.clock.now();
		}

		this.parts.pool.send(requester, report);
	}

	#resendReports(member: MemberId): void {
		this.#removeExpired();
		const now = this.parts.clock.now();
		for (const {requester, lastMessage, endedAt} of this.#runs.values()) {
			const mayBeLost = endedAt === undefined || now - endedAt < resendMilliseconds;
			if (requester === member && lastMessage !== undefined && mayBeLost) {
				this.parts.pool.send(member, lastMessage);
			}
		}
	}

	/** The map is ordered by age. */
	#removeExpired(): void {
		const now = this.parts.clock.now();
		for (const [key, {requestedAt, endedAt}] of this.#runs) {
			if (now - requestedAt < retentionMilliseconds) {
				return;
			}

			const isExpired = endedAt !== undefined && now - endedAt >= retentionMilliseconds;
			if (isExpired || now - requestedAt > 10 * retentionMilliseconds) {
				this.#runs.delete(key);
			}
		}
	}
}

