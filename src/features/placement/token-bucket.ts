/** A limit on a rate. */

/** Fills steadily up to a capacity; monotonic milliseconds come from the caller. */
export class TokenBucket {
	#tokens: number;
	#refilledAt: number;

	constructor(private readonly perSecond: number, private readonly capacity: number, now: number) {
		this.#tokens = capacity;
		this.#refilledAt = now;
	}

	/** Takes so many tokens, or says in how many milliseconds they will be there. */
	take(count: number, now: number): {readonly kind: 'taken'} | {readonly kind: 'short'; readonly waitMilliseconds: number} {
		this.#tokens = Math.min(this.capacity, this.#tokens + ((now - this.#refilledAt) * this.perSecond / 1000));
		this.#refilledAt = now;
		// More than the bucket holds at once may be taken when it's full, and is paid off afterwards.
		const needed = Math.min(count, this.capacity);
		if (this.#tokens < needed) {
			return {kind: 'short', waitMilliseconds: (needed - this.#tokens) * 1000 / this.perSecond};
		}

		this.#tokens -= count;
		return {kind: 'taken'};
	}
}
