/** Limits retries. */

const tokensPerStart = 0.1;
const maximumTokens = 50;

/** Token bucket that allows retries as a share of started tasks, so that retries can't amplify load during a failure. */
export class RetryBudget {
	#tokens = maximumTokens;

	/** Adds the tokens earned by a started task. */
	recordStart(): void {
		this.#tokens = Math.min(maximumTokens, this.#tokens + tokensPerStart);
	}

	/** Takes a token for one retry; returns false if none is available. */
	tryTake(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
