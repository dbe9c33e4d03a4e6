/** Gives up former submissions of jobs that other entries take over. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {JobTakeover} from './job-takeover.js';
import type {SubmissionOrder} from './submission-order.js';
import type {TakeoverMessage} from './takeover-message.js';

const checkMilliseconds = 25;
/** Runs that were given up have ended with their leases by then. */
const longestWaitMilliseconds = 1500;

/** A job whose end another entry waits for, since the given time; `mayHaveRun` says what other entries told of it. */
type WaitingJob = {readonly claimant: MemberId; readonly since: number; mayHaveRun: boolean};

/** Dependencies of the responder. */
type TakeoverResponderParts = {
	readonly self: MemberId;
	readonly executor: Executor;
	readonly order: SubmissionOrder;
	/** Ends this entry's job if its submission is a former one. */
	readonly yieldJob: (takeover: JobTakeover) => void;
	/** Whether runs that this entry requested for the job may go on. */
	readonly hasRequestedRuns: (job: JobId) => boolean;
	/** Whether other entries are being asked for a job. */
	readonly isRelayed: (job: JobId) => boolean;
	readonly send: (to: MemberId, message: TakeoverMessage) => void;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Stops the runs of former submissions, and tells the entry that takes a job over once they have ended. */
export class TakeoverResponder implements Disposable {
	readonly #waiting = new Map<MemberId, Map<JobId, WaitingJob>>();
	#timer: Disposable | undefined;

	constructor(private readonly parts: TakeoverResponderParts) {}

	/** Gives the jobs up, and returns those that may still run for other entries than the claimant. */
	yieldJobs(takeovers: readonly JobTakeover[]): readonly JobId[] {
		for (const takeover of takeovers) {
			this.parts.order.record(takeover);
			if (takeover.claimant !== this.parts.self) {
				this.parts.yieldJob(takeover);
			}

			this.#stopRuns(takeover);
		}

		return takeovers.filter(({job, claimant}) => this.#isBusy(claimant, job)).map(({job}) => job);
	}

	answer(from: MemberId, round: number, takeovers: readonly JobTakeover[]): void {
		const busy = new Set(this.yieldJobs(takeovers));
		const relayed = takeovers.map(({job}) => job).filter(job => !busy.has(job) && this.parts.isRelayed(job));
		this.parts.send(from, {
			kind: 'answer', round, busy: [...busy], relayed,
		});
		const open = new Set([...busy, ...relayed]);
		if (open.size === 0) {
			return;
		}

		const since = this.parts.clock.now();
		const waiting = this.#waiting.get(from) ?? new Map<JobId, WaitingJob>();
		this.#waiting.set(from, waiting);
		for (const {job, claimant} of takeovers) {
			if (open.has(job)) {
				waiting.set(job, {claimant, since, mayHaveRun: false});
			}
		}

		this.#schedule();
	}

	/** Records what the entries that were asked for a job have told of it. */
	recordRelayed(job: JobId, mayHaveRun: boolean): void {
		for (const jobs of this.#waiting.values()) {
			const waiting = jobs.get(job);
			if (waiting !== undefined) {
				waiting.mayHaveRun ||= mayHaveRun;
			}
		}

		this.check();
	}

	/** Tells the waiting entries which jobs have ended. */
	check(): void {
		const now = this.parts.clock.now();
		for (const [member, jobs] of this.#waiting) {
			const ended = [...jobs].filter(([job, {claimant, since}]) => now - since > longestWaitMilliseconds || !(this.#isBusy(claimant, job) || this.parts.isRelayed(job)));
			for (const [job] of ended) {
				jobs.delete(job);
			}

			if (ended.length > 0) {
				this.parts.send(member, {
					kind: 'ended', jobs: ended.map(([job]) => job), mayHaveRun: ended.filter(([, waiting]) => waiting.mayHaveRun).map(([job]) => job),
				});
			}

			if (jobs.size === 0) {
				this.#waiting.delete(member);
			}
		}
	}

	forget(member: MemberId): void {
		this.#waiting.delete(member);
	}

	dispose(): void {
		this.#timer?.dispose();
	}

	/** The requesters are told first: they would start the stopped tasks again. */
	#stopRuns(takeover: JobTakeover): void {
		const {self, executor, order, send} = this.parts;
		const former = [...executor.runsOf(takeover.job)].filter(({requester}) => requester !== takeover.claimant && order.isFormer(requester, takeover));
		for (const requester of new Set(former.map(run => run.requester))) {
			if (requester !== self) {
				send(requester, {kind: 'notice', takeovers: [takeover]});
			}
		}

		for (const {request} of former) {
			executor.stop(request.task, request.attempt, 'its job was submitted again through another entry');
		}
	}

	#isBusy(claimant: MemberId, job: JobId): boolean {
		const {executor, hasRequestedRuns} = this.parts;
		return hasRequestedRuns(job) || [...executor.runsOf(job)].some(({requester}) => requester !== claimant);
	}

	#schedule(): void {
		this.#timer ??= this.parts.clock.schedule(checkMilliseconds, () => {
			this.#timer = undefined;
			this.check();
			if (this.#waiting.size > 0) {
				this.#schedule();
			}
		});
	}
}
