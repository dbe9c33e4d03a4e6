/** The order of what one session sends and hears. */

/** Counts what is sent and what is confirmed: times can't tell before from after within one millisecond. */
export class StepCounter {
	#latest = 0;

	next(): number {
		this.#latest += 1;
		return this.#latest;
	}
}
