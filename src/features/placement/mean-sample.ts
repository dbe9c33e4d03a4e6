/** Running mean of the measured run times of one profile. */

/** Times are in milliseconds. */
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
