/** The lease of the runs on one target. */
import type {TargetTime} from '../../base/target-time.js';
import type {ClockOffsets} from './clock-offsets.js';
import type {LeaseLimit} from './lease-limit.js';

/** Maximum rate by which a target's clock may be slower than ours, as specified by the platform. */
const clockDrift = 0.02;
/** Allowance for the delivery and handling of an order. */
const transitMilliseconds = 60;

/**
 * Converts between the target's clock and ours. The estimate of the target's clock lags by the delay of its latest answer, so
 * that a lease ends early rather than late. The latest end is computed from when the last renewing order was sent.
 */
export class LeaseSchedule {
	#clock: TargetTime | undefined;
	#clockReadAt = 0;
	#latestEnd = 0;

	constructor(private readonly leaseMilliseconds: number, private readonly offsets: ClockOffsets) {}

	/** Discards the clock of a former incarnation. */
	restart(): void {
		this.#clock = undefined;
	}

	/** Records the clock of an answer that was received at a monotonic time. */
	recordClock(clock: TargetTime, receivedAt: number): void {
		this.#clock = clock;
		this.#clockReadAt = receivedAt;
		this.offsets.record(clock, receivedAt);
	}

	/**
	 * Records a renewal, and returns the lease's end by the target's clock, at most at the limit. Undefined before the first answer, and
	 * after the limit.
	 */
	renewUntil(now: number, {at, contactAt}: Pick<LeaseLimit, 'at' | 'contactAt'>): TargetTime | undefined {
		if (this.#clock === undefined || at <= now) {
			return undefined;
		}

		const targetNow = this.#clock + (now - this.#clockReadAt);
		const end = Math.min(targetNow + this.leaseMilliseconds, this.#limitAt(at, contactAt));
		if (end <= targetNow) {
			return undefined;
		}

		this.recordRenewal(now);
		return Math.floor(end) as TargetTime;
	}

	/** Records that the lease may have been renewed at a monotonic time, by this owner or by a former one. */
	recordRenewal(at: number): void {
		this.#latestEnd = Math.max(this.#latestEnd, at + (this.leaseMilliseconds * (1 + clockDrift)) + transitMilliseconds);
	}

	/** The time by which all runs have ended unless another owner renews the lease; monotonic. */
	get latestEnd(): number {
		return this.#latestEnd;
	}

	/** The limit by the target's clock: a suspension that this entry's clock doesn't count must not move it. */
	#limitAt(at: number, contactAt: number): number {
		return Number.isFinite(at) ? (this.offsets.readings.targetTimeOf(contactAt) ?? Number.NEGATIVE_INFINITY) + (at - contactAt) : at;
	}
}
