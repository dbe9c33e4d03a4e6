/** The lease of the runs on one target. */
import type {TargetTime} from '../../base/target-time.js';
import type {ClockGap} from '../../runtime/clock-gap.js';

/** Maximum rate by which a target's clock may be slower than ours, as specified by the platform. */
const clockDrift = 0.02;
/** Allowance for the delivery and handling of an order. */
const transitMilliseconds = 60;
/** Number of answers to compare: answers that were delayed by a pause show only a part of it. */
const maxClockOffsets = 4;

/**
 * Converts between the target's clock and ours. The estimate of the target's clock lags by the delay of its latest answer, so
 * that a lease ends early rather than late. The latest end is computed from when the last renewing order was sent.
 */
export class LeaseSchedule {
	#clock: TargetTime | undefined;
	#clockReadAt = 0;
	/** Target clock minus ours at the latest answers, in milliseconds. */
	#clockOffsets: ReadonlyArray<{readonly offset: number; readonly at: number}> = [];
	#latestEnd = 0;

	constructor(private readonly leaseMilliseconds: number) {}

	/**
	 * Returns by how much the target's clock advanced more than ours since one of its latest answers: the length of a suspension
	 * that our clock doesn't count. Undefined without earlier answers. The monotonic times are those of the order and its answer.
	 */
	detectSuspension(clock: TargetTime, requestedAt: number, receivedAt: number): ClockGap | undefined {
		const offset = clock - receivedAt;
		const [smallest] = this.#clockOffsets.toSorted((left, right) => left.offset - right.offset);
		return smallest === undefined ? undefined : {milliseconds: offset - smallest.offset, since: smallest.at, requestedAt};
	}

	/** Discards the clock of a former incarnation. */
	restart(): void {
		this.#clock = undefined;
		this.#clockOffsets = [];
	}

	/** Records the clock of an answer that was received at a monotonic time. */
	recordClock(clock: TargetTime, receivedAt: number): void {
		this.#clock = clock;
		this.#clockReadAt = receivedAt;
		this.#clockOffsets = [...this.#clockOffsets.slice(1 - maxClockOffsets), {offset: clock - receivedAt, at: receivedAt}];
	}

	/**
	 * Records a renewal, and returns the lease's end by the target's clock, at most at the monotonic time `limit`. Undefined before
	 * the first answer, and after the limit.
	 */
	renewUntil(now: number, limit: number): TargetTime | undefined {
		if (this.#clock === undefined || limit <= now) {
			return undefined;
		}

		this.recordRenewal(now);
		return Math.floor(this.#clock + (Math.min(now + this.leaseMilliseconds, limit) - this.#clockReadAt)) as TargetTime;
	}

	/** Records that the lease may have been renewed at a monotonic time, by this owner or by a former one. */
	recordRenewal(at: number): void {
		this.#latestEnd = Math.max(this.#latestEnd, at + (this.leaseMilliseconds * (1 + clockDrift)) + transitMilliseconds);
	}

	/** The time by which all runs have ended unless another owner renews the lease; monotonic. */
	get latestEnd(): number {
		return this.#latestEnd;
	}
}
