/** Takeovers of resubmitted jobs from the other entries. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {FinishedTakeover} from './finished-takeover.js';
import type {JobTakeover} from './job-takeover.js';
import type {TakeoverMessage} from './takeover-message.js';

/** Requests are sent at most this often, each for all jobs that came in between. */
const shortestRoundMilliseconds = 20;
/** Lengthens the rounds in large fleets, so that a storm of resubmissions costs at most 250 requests a second. */
const millisecondsPerRequest = 4;
/** Bounds the size of a frame. */
const maximumJobsPerRound = 200;
const checkMilliseconds = 20;
/** How long to wait for an answer. Entries that are dead, cut off or of a former version don't hold up the job for longer. */
const usualAnswerMilliseconds = 100;
/** The same for entries that are known to read their input late. */
const longestAnswerMilliseconds = 500;
/** How long to wait for the end of runs that an entry is stopping; their leases end sooner. */
const longestStopMilliseconds = 1500;

type PendingTakeover = {
	readonly round: number;
	readonly sentAt: number;
	/** Entries that haven't answered. */
	readonly unanswered: Set<MemberId>;
	/** Entries on which runs are ending, or that ask the rest of their zone, with the time of their answer. */
	readonly busy: Map<MemberId, number>;
	mayHaveRun: boolean;
	unansweredPeers: number;
};

/** Dependencies of the requests. */
type TakeoverRequestsParts = {
	/** The peers to ask, with whether each has to ask others. */
	readonly peers: () => Iterable<readonly [MemberId, boolean]>;
	readonly nextRound: () => number;
	/** Stops runs of former submissions on this entry's own targets. */
	readonly yieldLocally: (takeovers: readonly JobTakeover[]) => void;
	readonly send: (to: MemberId, message: TakeoverMessage) => void;
	/** How late an answer of a peer may be read, in milliseconds, because of slow entries; 0 if absent. */
	readonly delayOf?: (peer: MemberId) => number;
	readonly clock: Clock;
};

/**
 * The wait of a claimant for its peers, and of a peer that relays a request for the rest of its zone.
 *
 * Before the first start of a resubmitted job, all peers are asked to give up its former submissions. The job waits for the answers,
 * and for the ends of the runs that they tell of, so that the order of both doesn't depend on how late anyone is.
 */
export class TakeoverRequests implements Disposable {
	readonly #finish = new Emitter<FinishedTakeover>();
	readonly #pending = new Map<JobId, PendingTakeover>();
	readonly #queued: JobTakeover[] = [];
	#nextRoundAt = Number.NEGATIVE_INFINITY;
	#flushTimer: Disposable | undefined;
	#checkTimer: Disposable | undefined;

	constructor(private readonly parts: TakeoverRequestsParts) {}

	/** Fires when a job may be started. */
	get onDidFinish() {
		return this.#finish.event;
	}

	/** Whether answers or ends are outstanding for a job. */
	isPending(job: JobId): boolean {
		return this.#pending.has(job) || this.#queued.some(queued => queued.job === job);
	}

	request(takeover: JobTakeover): void {
		this.#queued.push(takeover);
		this.#scheduleFlush();
	}

	recordAnswer(from: MemberId, {round, busy, relayed}: Extract<TakeoverMessage, {kind: 'answer'}>): void {
		const [busyJobs, openJobs] = [new Set(busy), new Set([...busy, ...relayed])];
		const now = this.parts.clock.now();
		for (const [job, pending] of this.#pending) {
			if (pending.round !== round || !pending.unanswered.delete(from)) {
				continue;
			}

			pending.mayHaveRun ||= busyJobs.has(job);
			if (openJobs.has(job)) {
				pending.busy.set(from, now);
			}

			this.#finishIfAnswered(job, pending);
		}
	}

	recordEnd(from: MemberId, {jobs, mayHaveRun}: Extract<TakeoverMessage, {kind: 'ended'}>): void {
		const ranJobs = new Set(mayHaveRun);
		for (const job of jobs) {
			const pending = this.#pending.get(job);
			if (pending?.busy.delete(from)) {
				pending.mayHaveRun ||= ranJobs.has(job);
				this.#finishIfAnswered(job, pending);
			}
		}
	}

	/** A lost entry won't answer. Runs that it told of may go on without it until their leases end. */
	forget(member: MemberId): void {
		for (const [job, pending] of this.#pending) {
			pending.unanswered.delete(member);
			this.#finishIfAnswered(job, pending);
		}
	}

	dispose(): void {
		this.#flushTimer?.dispose();
		this.#checkTimer?.dispose();
		this.#pending.clear();
	}

	#scheduleFlush(): void {
		const {clock} = this.parts;
		this.#flushTimer ??= clock.schedule(Math.max(0, this.#nextRoundAt - clock.now()), () => {
			this.#flushTimer = undefined;
			this.#flush();
		});
	}

	#flush(): void {
		const {peers, yieldLocally, send, clock} = this.parts;
		const takeovers = this.#queued.splice(0, maximumJobsPerRound);
		const asked = [...peers()];
		const round = this.parts.nextRound();
		const sentAt = clock.now();
		this.#nextRoundAt = sentAt + Math.max(shortestRoundMilliseconds, asked.length * millisecondsPerRequest);
		yieldLocally(takeovers);
		for (const [peer, isToRelay] of asked) {
			send(peer, {
				kind: 'request', round, isToRelay, takeovers,
			});
		}

		for (const {job} of takeovers) {
			const pending: PendingTakeover = {
				round, sentAt, unanswered: new Set(asked.map(([peer]) => peer)), busy: new Map(), mayHaveRun: false, unansweredPeers: 0,
			};
			this.#pending.set(job, pending);
			this.#finishIfAnswered(job, pending);
		}

		if (this.#queued.length > 0) {
			this.#scheduleFlush();
		}

		this.#scheduleCheck();
	}

	#finishIfAnswered(job: JobId, {unanswered, busy, mayHaveRun, sentAt, unansweredPeers}: PendingTakeover): void {
		if (unanswered.size === 0 && busy.size === 0) {
			this.#pending.delete(job);
			this.#finish.fire({
				job, mayHaveRun, waitedMilliseconds: this.parts.clock.now() - sentAt, unansweredPeers,
			});
		}
	}

	#scheduleCheck(): void {
		if (this.#pending.size === 0) {
			return;
		}

		this.#checkTimer ??= this.parts.clock.schedule(checkMilliseconds, () => {
			this.#checkTimer = undefined;
			// After a stall, timers fire before the answers that arrived meanwhile are read.
			this.parts.clock.defer(() => {
				this.#check();
				this.#scheduleCheck();
			});
		});
	}

	#check(): void {
		const now = this.parts.clock.now();
		for (const [job, pending] of this.#pending) {
			for (const peer of pending.unanswered) {
				if (now - pending.sentAt >= this.#answerLimit(peer)) {
					pending.unanswered.delete(peer);
					pending.unansweredPeers += 1;
				}
			}

			for (const [peer, since] of pending.busy) {
				if (now - since >= longestStopMilliseconds) {
					pending.busy.delete(peer);
				}
			}

			this.#finishIfAnswered(job, pending);
		}
	}

	#answerLimit(peer: MemberId): number {
		return Math.min(longestAnswerMilliseconds, usualAnswerMilliseconds + (this.parts.delayOf?.(peer) ?? 0));
	}
}
