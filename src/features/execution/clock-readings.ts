/** Conversion of this entry's times to those of a target. */
import type {TargetTime} from '../../base/target-time.js';

/** Readings within this time count as one. */
const readingIntervalMilliseconds = 50;
/** Suspensions that no clock of this entry shows are shorter, with the time in which the input of meanwhile is read. */
const unnoticedMilliseconds = 600;
/** Longer than the age of a contact by which a lease is limited, with the interval between two renewals. */
const maximumAgeMilliseconds = 3000;

/** `offset` is the target's clock minus ours, and `at` is monotonic. `unexplained` is skipped time in both that may not have been a suspension. */
type Reading = {at: number; offset: number; unexplained: number};

/**
 * Readings of a target's clock. It goes on while this entry is suspended, so that a time from before a suspension is converted by a
 * reading from before it, whether the suspension is noticed or not.
 */
export class ClockReadings {
	#readings: Reading[] = [];

	/** Discards the readings of a former incarnation. */
	clear(): void {
		this.#readings = [];
	}

	/** Records the target's clock, as read in an answer that was received at a monotonic time. */
	record(clock: TargetTime, at: number): void {
		const offset = clock - at;
		const last = this.#readings.at(-1);
		if (last !== undefined && at - last.at < readingIntervalMilliseconds && offset <= last.offset) {
			last.offset = offset;
			return;
		}

		this.#readings = this.#readings.filter(reading => at - reading.at <= maximumAgeMilliseconds);
		this.#readings.push({at, offset, unexplained: 0});
	}

	/**
	 * Returns the target's time at a past monotonic time, less the delay of the answer that tells it: by the latest reading before that
	 * time, or else the lowest one. Undefined without a reading.
	 */
	targetTimeOf(at: number): number | undefined {
		const before = this.#readings.findLast(reading => reading.at < at);
		const offset = before?.offset ?? Math.min(...this.#readings.map(reading => reading.offset));
		return this.#readings.length === 0 ? undefined : at + offset;
	}

	/** By how much the target's clock has advanced more than ours lately, in milliseconds: this entry may have been suspended for as long. */
	recentAdvance(now: number): number {
		const offsets = this.#readings.filter(({at}) => now - at <= unnoticedMilliseconds).map(({offset}) => offset);
		return offsets.length === 0 ? 0 : Math.max(0, offsets.at(-1)! - Math.min(...offsets));
	}

	/** Records time that only this entry's wall clock counted; all monotonic times that are kept are made earlier by it. */
	recordSkippedTime(milliseconds: number): void {
		for (const reading of this.#readings) {
			shift(reading, milliseconds);
			reading.unexplained += milliseconds;
		}
	}

	/** Records how much of the skipped time was a suspension: all or nothing. */
	explainSkippedTime(suspendedMilliseconds: number): void {
		for (const reading of this.#readings) {
			shift(reading, suspendedMilliseconds > 0 ? 0 : -reading.unexplained);
			reading.unexplained = 0;
		}
	}
}

function shift(reading: Reading, milliseconds: number): void {
	reading.at -= milliseconds;
	reading.offset += milliseconds;
}
