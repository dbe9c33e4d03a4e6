/** Token bucket rate limiter. */

/** Refills at a constant rate up to its capacity; times are monotonic milliseconds supplied by the caller. */
export class TokenBucket {
	#tokens: number;
	#refilledAt: number;

	constructor(private readonly perSecond: number, private readonly capacity: number, now: number) {
		this.#tokens = capacity;
		this.#refilledAt = now;
	}

	/** Takes tokens, or returns the time in milliseconds until enough are available. */
	take(count: number, now: number): {readonly kind: 'taken'} | {readonly kind: 'short'; readonly waitMilliseconds: number} {
		this.#tokens = Math.min(this.capacity, this.#tokens + ((now - this.#refilledAt) * this.perSecond / 1000));
		this.#refilledAt = now;
		// A full bucket allows a request that exceeds its capacity; the balance then becomes negative.
		const needed = Math.min(count, this.capacity);
		if (this.#tokens < needed) {
			return {kind: 'short', waitMilliseconds: (needed - this.#tokens) * 1000 / this.perSecond};
		}

		this.#tokens -= count;
		return {kind: 'taken'};
	}
}
