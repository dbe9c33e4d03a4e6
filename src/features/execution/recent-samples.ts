/** The latest samples of a noisy quantity. */

type Sample = {readonly value: number; readonly weight: number};

/**
 * Keeps a bounded number of weighted samples. Their centre is the mean of the middle half, which ignores outliers like a median,
 * but is more accurate for few samples of uniformly distributed errors.
 */
export class RecentSamples {
	readonly #samples: Sample[] = [];
	#next = 0;
	#summary: {readonly centre: number; readonly spread: number} | undefined;
	#addedSince = 0;

	/** The centre is computed again after `samplesPerUpdate` samples, which bounds the cost of a shared window. */
	constructor(private readonly capacity: number, private readonly samplesPerUpdate = 1) {}

	get count(): number {
		return this.#samples.length;
	}

	get centre(): number {
		return this.#summarize().centre;
	}

	/** The distance between the quartiles. */
	get spread(): number {
		return this.#summarize().spread;
	}

	add(value: number, weight = 1): void {
		this.#samples[this.#next] = {value, weight};
		this.#next = (this.#next + 1) % this.capacity;
		this.#addedSince += 1;
		if (this.#addedSince >= this.samplesPerUpdate) {
			this.#summary = undefined;
		}
	}

	#summarize() {
		if (this.#summary === undefined) {
			const sorted = this.#samples.toSorted((left, right) => left.value - right.value);
			this.#summary = {centre: midmeanOf(sorted), spread: quantileOf(sorted, 0.75) - quantileOf(sorted, 0.25)};
			this.#addedSince = 0;
		}

		return this.#summary;
	}
}

/** The mean of the samples between the quartiles; 0 without samples. */
function midmeanOf(sorted: readonly Sample[]): number {
	const total = sorted.reduce((sum, {weight}) => sum + weight, 0);
	const [from, to] = [0.25 * total, 0.75 * total];
	let passed = 0;
	let sum = 0;
	for (const {value, weight} of sorted) {
		sum += value * Math.max(0, Math.min(to, passed + weight) - Math.max(from, passed));
		passed += weight;
	}

	return total === 0 ? 0 : sum / (to - from);
}

/** The first value at which the share of the total weight is reached; 0 without samples. */
function quantileOf(sorted: readonly Sample[], share: number): number {
	let rest = share * sorted.reduce((sum, {weight}) => sum + weight, 0);
	for (const {value, weight} of sorted) {
		rest -= weight;
		if (rest <= 0) {
			return value;
		}
	}

	return sorted.at(-1)?.value ?? 0;
}
