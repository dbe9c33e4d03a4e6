/** Typical caller timeout of one queue. */

/** Quantile of the timeouts of first submissions that is tracked. */
const quantile = 0.05;
/** Samples needed for the first estimate. */
const initialSamples = 40;
/** Step per sample, as a share of the estimate. */
const learningRate = 0.01;
/** A timeout below this share of the estimate marks a resubmission. */
const freshThreshold = 0.8;
/**
 * Resets the estimate when most of the window has looked like resubmissions for this long: an outage causes that for a
 * second or two, a change of the callers' timeouts for longer.
 */
const resetMilliseconds = 5000;
const windowSamples = 60;

/**
 * Estimates a low quantile of caller timeouts by stochastic approximation. Each submission states the caller's remaining
 * time, so a timeout below the estimate reveals the age of a resubmitted job. The low quantile underestimates ages rather
 * than overestimating them.
 */
export class TypicalTimeout {
	#milliseconds: number | undefined;
	#firstSamples: number[] = [];
	#recent: boolean[] = [];
	#shiftedSince: number | undefined;

	/** The estimate; undefined until enough samples were recorded. */
	get milliseconds(): number | undefined {
		return this.#milliseconds;
	}

	/** Sets the estimate if there is none yet. */
	seed(milliseconds: number): void {
		this.#milliseconds ??= milliseconds;
	}

	/** Records the timeout of a submission. */
	record(milliseconds: number, now: number): void {
		if (this.#milliseconds === undefined) {
			this.#initialize(milliseconds);
			return;
		}

		const isFresh = milliseconds >= freshThreshold * this.#milliseconds;
		if (isFresh) {
			this.#milliseconds += learningRate * this.#milliseconds * (milliseconds < this.#milliseconds ? quantile - 1 : quantile);
		}

		this.#detectShift(isFresh, now);
	}

	#initialize(milliseconds: number): void {
		this.#firstSamples.push(milliseconds);
		if (this.#firstSamples.length >= initialSamples) {
			const sorted = this.#firstSamples.sort((left, right) => left - right);
			this.#milliseconds = sorted[Math.floor(quantile * initialSamples)];
			this.#firstSamples = [];
		}
	}

	#detectShift(isFresh: boolean, now: number): void {
		this.#recent.push(isFresh);
		if (this.#recent.length > windowSamples) {
			this.#recent.shift();
		}

		const fresh = this.#recent.filter(Boolean).length;
		if (this.#recent.length < windowSamples || fresh >= windowSamples / 2) {
			this.#shiftedSince = undefined;
			return;
		}

		this.#shiftedSince ??= now;
		if (now - this.#shiftedSince > resetMilliseconds) {
			this.#milliseconds = undefined;
			this.#recent = [];
			this.#shiftedSince = undefined;
		}
	}
}
