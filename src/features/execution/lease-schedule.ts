/** The lease of everything that runs on one target. */
import type {TargetTime} from '../../base/target-time.js';
import type {UncountedTime} from '../../runtime/uncounted-time.js';

/** A target's steady clock may be this much slower than ours, by the platform's own statement. */
const clockDrift = 0.02;
/** For the time that an order travels and is handled. */
const travelMilliseconds = 60;
/** Of a pause the renewal under way and a look may each show a part. */
const comparedReadings = 4;

/**
 * Converts between the target's clock and ours. The target's time is taken from its latest answer, so that the estimate is
 * late by the answer's travel and a lease ends rather earlier than asked for; the time when everything has certainly ended
 * is reckoned from the sending of the last order that renewed the lease.
 */
export class LeaseSchedule {
	#clock: TargetTime | undefined;
	#clockReadAt = 0;
	/** By how much the target's clock was ahead of ours at its latest answers. */
	#readings: ReadonlyArray<{readonly ahead: number; readonly at: number}> = [];
	#certainEnd = 0;

	constructor(private readonly leaseMilliseconds: number) {}

	/**
	 * By how much the target's clock has gone on more than ours since one of its latest answers; it shows a suspension that ours
	 * doesn't count. An answer that had waited meanwhile shows a part of it only.
	 */
	uncounted(clock: TargetTime, receivedAt: number): UncountedTime | undefined {
		const ahead = clock - receivedAt;
		const [earliest] = this.#readings.toSorted((left, right) => left.ahead - right.ahead);
		return earliest === undefined ? undefined : {milliseconds: ahead - earliest.ahead, since: earliest.at};
	}

	/** The target started again, with another clock. */
	restart(): void {
		this.#clock = undefined;
		this.#readings = [];
	}

	/** Takes the clock of an answer that was received at a monotonic time. */
	read(clock: TargetTime, receivedAt: number): void {
		this.#clock = clock;
		this.#clockReadAt = receivedAt;
		this.#readings = [...this.#readings.slice(1 - comparedReadings), {ahead: clock - receivedAt, at: receivedAt}];
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
