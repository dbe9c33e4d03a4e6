/** How soon targets answer. */

/** Weights of the newest sample and factor of the deviation, as TCP reckons its retransmission timeout (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
/** Below this a target that is merely busy for a moment would be taken for one that lost the order. */
const shortestLimitMilliseconds = 40;
/** Until there are samples, and at most: the task of a lost order waits as long. */
const longestLimitMilliseconds = 150;
const trustedSamples = 20;

/**
 * Learns from answers how long it's worth to wait for one. An order that a target has lost holds its task until the limit,
 * and a short task that waits too long for it misses its objective. An entry that is slow itself, or far from its targets,
 * measures longer times and waits longer.
 */
export class ResponseTimes {
	#samples = 0;
	#mean = 0;
	#deviation = 0;

	/** Takes the time from an order to its answer. */
	record(milliseconds: number): void {
		this.#samples += 1;
		if (this.#samples === 1) {
			this.#mean = milliseconds;
			this.#deviation = milliseconds / 2;
			return;
		}

		this.#deviation += deviationWeight * (Math.abs(milliseconds - this.#mean) - this.#deviation);
		this.#mean += meanWeight * (milliseconds - this.#mean);
	}

	/** After so many milliseconds without an answer the order counts as lost. */
	get limitMilliseconds(): number {
		if (this.#samples < trustedSamples) {
			return longestLimitMilliseconds;
		}

		const limit = this.#mean + (deviationFactor * this.#deviation);
		return Math.round(Math.min(longestLimitMilliseconds, Math.max(shortestLimitMilliseconds, limit)));
	}
}
