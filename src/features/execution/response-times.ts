/** Response times of targets. */

/** Smoothing weights and deviation factor of TCP's retransmission timeout (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
/** Minimum time limit, so that an order to a briefly busy target doesn't count as lost. */
const minLimitMilliseconds = 40;
/** Maximum time limit, also used until there are enough samples; bounds the delay of a task by a lost order. */
const maxLimitMilliseconds = 150;
const minSamples = 20;

/**
 * Estimates the time limit of orders from measured response times. The limit follows the latency of this entry and its targets,
 * and stays short enough that a task whose order was lost can still meet its objective.
 */
export class ResponseTimes {
	#samples = 0;
	#mean = 0;
	#deviation = 0;

	/** Records the time from an order to its answer. */
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

	/** The time without an answer after which an order counts as lost. */
	get limitMilliseconds(): number {
		if (this.#samples < minSamples) {
			return maxLimitMilliseconds;
		}

		const limit = this.#mean + (deviationFactor * this.#deviation);
		return Math.round(Math.min(maxLimitMilliseconds, Math.max(minLimitMilliseconds, limit)));
	}
}
