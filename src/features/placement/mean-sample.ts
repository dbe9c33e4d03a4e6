/** Measured run times of one profile, as their mean. */

/** In milliseconds; the mean is running, so that reading it costs nothing. */
export class MeanSample {
	#sum = 0;
	#count = 0;

	get count(): number {
		return this.#count;
	}

	get mean(): number {
		return this.#sum / this.#count;
	}

	record(milliseconds: number): void {
		this.#sum += milliseconds;
		this.#count += 1;
	}
}
