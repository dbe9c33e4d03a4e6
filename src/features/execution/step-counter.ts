/** Order of a session's messages. */

/** Numbers requests and confirmations from 1; timestamps don't order events within one millisecond. */
export class StepCounter {
	#latest = 0;

	next(): number {
		this.#latest += 1;
		return this.#latest;
	}
}
