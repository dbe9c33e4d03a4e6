/** Typical caller timeout of one queue. */
import {freshTimeouts} from './fresh-timeouts.js';
import {leastResubmittedAgeMilliseconds} from './least-resubmitted-age.js';
import {quantileOf} from './quantile-of.js';
import {resubmissionDelayMilliseconds} from './resubmission-delay.js';

/** Excludes a few callers with other timeouts than the rest, on both sides. */
const outlierShare = 0.05;
/** Samples needed for the first estimate; too few to tell first submissions from resubmissions. */
const initialSamples = 40;
const windowSamples = 100;
/** The estimate is updated once in this many samples, since each update sorts the window. */
const updateInterval = 10;
/** Lowers the estimate when it has been too high for this long: an outage causes that for a second or two, a change of the callers' timeouts for longer. */
const shiftMilliseconds = 5000;
/** A submission that is closer to the estimate isn't told from a first one. */
const leastDifferenceMilliseconds = 200;

/**
 * Tracks the lower end of the timeouts of recent first submissions. Each submission states the caller's remaining time, so a timeout
 * below the estimate reveals the age of a resubmitted job. The lower end underestimates ages rather than overestimating them.
 */
export class TypicalTimeout {
	#milliseconds: number | undefined;
	/** By how much a timeout has to be below the estimate to mark a resubmission. */
	#resubmittedDifference = leastResubmittedAgeMilliseconds;
	readonly #recent: number[] = [];
	#samples = 0;
	#tooHighSince: number | undefined;

	/** The estimate; undefined until enough samples were recorded. */
	get milliseconds(): number | undefined {
		return this.#milliseconds;
	}

	/** Sets the estimate if there is none yet. */
	seed(milliseconds: number): void {
		this.#milliseconds ??= milliseconds;
	}

	/** Returns a lower bound in milliseconds of the age of a submission with the given timeout; 0 without an estimate. */
	ageOf(timeoutMilliseconds: number): number {
		const difference = Math.max(0, (this.#milliseconds ?? 0) - timeoutMilliseconds);
		return difference < this.#resubmittedDifference ? difference : Math.max(difference, leastResubmittedAgeMilliseconds);
	}

	/** Records the timeout of a submission. */
	record(timeoutMilliseconds: number, now: number): void {
		this.#recent.push(timeoutMilliseconds);
		if (this.#recent.length > windowSamples) {
			this.#recent.shift();
		}

		this.#samples += 1;
		if (this.#samples % updateInterval !== 0) {
			return;
		}

		const sorted = this.#recent.toSorted((left, right) => left - right);
		if (sorted.length === windowSamples) {
			this.#update(freshTimeouts(sorted), now);
		} else if (this.#milliseconds === undefined && sorted.length >= initialSamples) {
			this.#milliseconds = lowerEndOf(sorted);
		}
	}

	#update(fresh: readonly number[], now: number): void {
		const milliseconds = lowerEndOf(fresh);
		const isTooHigh = this.#milliseconds !== undefined && this.#milliseconds - milliseconds >= leastResubmittedAgeMilliseconds;
		this.#tooHighSince = isTooHigh ? this.#tooHighSince ?? now : undefined;
		if (this.#tooHighSince !== undefined && now - this.#tooHighSince <= shiftMilliseconds) {
			return;
		}

		this.#milliseconds = milliseconds;
		this.#resubmittedDifference = resubmittedDifferenceOf(quantileOf(fresh, 1 - outlierShare) - milliseconds);
	}
}

/** Extrapolates two low quantiles, as the lowest samples may be outliers. */
function lowerEndOf(sorted: readonly number[]): number {
	return (2 * quantileOf(sorted, outlierShare)) - quantileOf(sorted, 2 * outlierShare);
}

/**
 * Half of what separates the youngest resubmissions from the estimate. Timeouts that spread by more than the resubmission delay don't
 * separate them; the wider the spread, the further below the estimate are first submissions.
 */
function resubmittedDifferenceOf(spreadMilliseconds: number): number {
	const separation = Math.abs(resubmissionDelayMilliseconds - spreadMilliseconds);
	return Math.min(leastResubmittedAgeMilliseconds, Math.max(leastDifferenceMilliseconds, separation / 2));
}
