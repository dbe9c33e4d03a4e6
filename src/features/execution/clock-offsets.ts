/** The difference between a target's clock and this entry's. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';
import type {ClockGap} from '../../runtime/clock-gap.js';
import {confirmedPauseThresholdMilliseconds} from '../../runtime/confirmed-pause-threshold.js';
import {ClockReadings} from './clock-readings.js';

/** Number of readings to compare: answers that were delayed by a pause show only a part of it. */
const maximumReadings = 4;
/** Readings within this time count as one, since a resumed entry reads several delayed answers at once. */
const readingIntervalMilliseconds = 100;
/** Age from which on a reading isn't compared: the target's clock may have drifted by as much as matters. */
const maximumAgeMilliseconds = 10_000;

/** `offset` is the target's clock minus ours; `at` is monotonic. Both are in milliseconds. */
type Reading = {readonly offset: number; readonly at: number};

/**
 * Detects suspensions of this entry, which its own monotonic clock doesn't count. Outlives the sessions with the target: an entry
 * that was suspended may find that the target has got another owner and returned.
 */
export class ClockOffsets {
	/** All readings of the present incarnation, by which times are converted. */
	readonly readings = new ClockReadings();
	#readings: readonly Reading[] = [];
	#incarnation: Incarnation | undefined;

	/** Whether no reading is recent enough to be compared. */
	isExpired(now: number): boolean {
		return this.#recentReadings(now).length === 0;
	}

	/**
	 * Returns by how much the target's clock advanced more than ours since one of its latest answers. Undefined without one. The
	 * monotonic times are those of the order and its answer.
	 */
	compare(clock: TargetTime, requestedAt: number, receivedAt: number): ClockGap | undefined {
		const readings = this.#recentReadings(receivedAt);
		const [smallest] = readings.toSorted((left, right) => left.offset - right.offset);
		if (smallest === undefined) {
			return undefined;
		}

		return {
			milliseconds: clock - receivedAt - smallest.offset, since: smallest.at, comparedSince: readings[0]!.at, requestedAt,
		};
	}

	/** A confirmed pause is compared once: what follows is compared with readings from after it. */
	record(clock: TargetTime, receivedAt: number): void {
		this.readings.record(clock, receivedAt);
		const offset = clock - receivedAt;
		this.#readings = this.#readings.filter(reading => offset - reading.offset <= confirmedPauseThresholdMilliseconds);
		const last = this.#readings.at(-1);
		this.#readings = last !== undefined && receivedAt - last.at < readingIntervalMilliseconds
			? [...this.#readings.slice(0, -1), {offset: Math.min(offset, last.offset), at: last.at}]
			: [...this.#readings.slice(1 - maximumReadings), {offset, at: receivedAt}];
	}

	/** Discards the readings of a former incarnation of the target, which had another clock. */
	selectIncarnation(incarnation: Incarnation | undefined): void {
		if (incarnation !== this.#incarnation) {
			this.#incarnation = incarnation;
			this.#readings = [];
			this.readings.clear();
		}
	}

	/** In order of time. */
	#recentReadings(now: number): readonly Reading[] {
		return this.#readings.filter(({at}) => now - at <= maximumAgeMilliseconds);
	}
}
