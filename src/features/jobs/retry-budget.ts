/** A limit on new tries. */

const retriesPerFreshTask = 0.1;
const capacity = 50;

/** Allows retries as a share of the fresh traffic, so that they can't multiply a failure's load. */
export class RetryBudget {
	#tokens = capacity;

	recordStart(): void {
		this.#tokens = Math.min(capacity, this.#tokens + retriesPerFreshTask);
	}

	/** Takes one retry, if there is one left. */
	tryTake(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
