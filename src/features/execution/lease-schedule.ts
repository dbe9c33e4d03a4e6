/** The lease of everything that runs on one target. */
import type {TargetTime} from '../../base/target-time.js';
import type {UncountedTime} from '../../runtime/uncounted-time.js';

/** A target's steady clock may be this much slower than ours, by the platform's own statement. */
const clockDrift = 0.02;
/** For the time that an order travels and is handled. */
const travelMilliseconds = 60;

/**
 * Converts between the target's clock and ours. The target's time is taken from its latest answer, so that the estimate is
 * late by the answer's travel and a lease ends rather earlier than asked for; the time when everything has certainly ended
 * is reckoned from the sending of the last order that renewed the lease.
 */
export class LeaseSchedule {
	#clock: TargetTime | undefined;
	#clockReadAt = 0;
	#certainEnd = 0;

	constructor(private readonly leaseMilliseconds: number) {}

	/** By how much the target's clock has gone on more than ours since it was read last; it shows a suspension that ours doesn't count. */
	uncounted(clock: TargetTime, receivedAt: number): UncountedTime | undefined {
		if (this.#clock === undefined) {
			return undefined;
		}

		return {milliseconds: clock - this.#clock - (receivedAt - this.#clockReadAt), since: this.#clockReadAt};
	}

	/** The target started again, with another clock. */
	restart(): void {
		this.#clock = undefined;
	}

	/** Takes the clock of an answer that was received at a monotonic time. */
	read(clock: TargetTime, receivedAt: number): void {
		this.#clock = clock;
		this.#clockReadAt = receivedAt;
	}

	/** The time until which an order that is sent now renews the lease; nothing before the first answer. */
	renewal(now: number): TargetTime | undefined {
		if (this.#clock === undefined) {
			return undefined;
		}

		this.noteRenewal(now);
		return Math.floor(this.#clock + (now - this.#clockReadAt) + this.leaseMilliseconds) as TargetTime;
	}

	/** The lease may have been renewed at a monotonic time, by this owner or by a former one. */
	noteRenewal(at: number): void {
		this.#certainEnd = Math.max(this.#certainEnd, at + (this.leaseMilliseconds * (1 + clockDrift)) + travelMilliseconds);
	}

	/** When whatever ran there has ended, if nobody else renews it; monotonic. */
	get certainEnd(): number {
		return this.#certainEnd;
	}
}
