/** The order of the submissions of resubmitted jobs. */
import type {Clock} from '../../base/clock.js';
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import {isLaterSubmission} from './is-later-submission.js';
import type {JobTakeover} from './job-takeover.js';

/** Above the resubmission delay of callers, with copies that are held up. */
const retentionMilliseconds = 30_000;
const maximumJobs = 5000;

type KnownJob = {readonly timeouts: Map<MemberId, number>; changedAt: number};

/** Knows for each requester of a job the latest submission that it has taken over, by the timeout that the caller stated. */
export class SubmissionOrder {
	readonly #jobs = new Map<JobId, KnownJob>();

	constructor(private readonly clock: Clock) {}

	record({job, timeoutMilliseconds, claimant}: JobTakeover): void {
		const known = this.#jobs.get(job) ?? {timeouts: new Map<MemberId, number>(), changedAt: 0};
		known.timeouts.set(claimant, Math.min(timeoutMilliseconds, known.timeouts.get(claimant) ?? timeoutMilliseconds));
		known.changedAt = this.clock.now();
		// Keeps the map ordered by age.
		this.#jobs.delete(job);
		this.#jobs.set(job, known);
		this.#removeExpired();
	}

	/**
	 * Whether the runs that a requester has of the job belong to a former submission. A requester without a takeover is taken to have the
	 * first one, also if its submission was a later one that it didn't recognise: that one's runs are then stopped and begin again.
	 */
	isFormer(requester: MemberId, {job, timeoutMilliseconds}: JobTakeover): boolean {
		const known = this.#jobs.get(job)?.timeouts.get(requester) ?? Number.POSITIVE_INFINITY;
		return isLaterSubmission(timeoutMilliseconds, known);
	}

	/** The latest submission of a job that was taken over; undefined if none was. */
	latestOf(job: JobId): JobTakeover | undefined {
		const timeouts = [...this.#jobs.get(job)?.timeouts ?? []];
		const [latest] = timeouts.toSorted(([, left], [, right]) => left - right);
		return latest && {job, claimant: latest[0], timeoutMilliseconds: latest[1]};
	}

	#removeExpired(): void {
		const now = this.clock.now();
		for (const [job, {changedAt}] of this.#jobs) {
			if (this.#jobs.size <= maximumJobs && now - changedAt <= retentionMilliseconds) {
				return;
			}

			this.#jobs.delete(job);
		}
	}
}
