/** The latest samples of a noisy quantity. */

/** Both are 0 without samples. */
type Summary = {readonly centre: number; readonly spread: number};

/** Part of the samples that has to be replaced before the centre is computed again, which bounds the cost of a large window. */
const replacedShare = 0.1;

/**
 * Keeps a bounded number of weighted samples for a limited time. Their centre is the mean of the middle half, which ignores outliers like a median,
 * but is more accurate for few samples of uniformly distributed errors.
 */
export class RecentSamples {
	/** Values and weights in order of arrival; the oldest are at the index of the next. */
	readonly #values: Float64Array;
	readonly #weights: Float64Array;
	readonly #times: Float64Array;
	/** The same in order of value. */
	readonly #sortedValues: Float64Array;
	readonly #sortedWeights: Float64Array;
	#count = 0;
	#next = 0;
	#summary: Summary | undefined;
	#addedSince = 0;

	constructor(private readonly capacity: number, private readonly retentionMilliseconds = Number.POSITIVE_INFINITY) {
		this.#values = new Float64Array(capacity);
		this.#times = new Float64Array(capacity);
		this.#weights = new Float64Array(capacity);
		this.#sortedValues = new Float64Array(capacity);
		this.#sortedWeights = new Float64Array(capacity);
	}

	get count(): number {
		return this.#count;
	}

	get centre(): number {
		return this.#summarize().centre;
	}

	/** The distance between the quartiles. */
	get spread(): number {
		return this.#summarize().spread;
	}

	/** The monotonic time is needed only if samples expire. */
	add(value: number, weight = 1, now = 0): void {
		this.removeExpired(now);
		if (this.#count === this.capacity) {
			this.#remove(this.#values[this.#next]!, this.#weights[this.#next]!);
		}

		this.#insert(value, weight);
		this.#values[this.#next] = value;
		this.#weights[this.#next] = weight;
		this.#times[this.#next] = now;
		this.#next = (this.#next + 1) % this.capacity;
		this.#addedSince += 1;
		if (this.#addedSince >= replacedShare * this.#count) {
			this.#summary = undefined;
		}
	}

	/** Removes the samples that are older than the retention period; returns whether there were any. */
	removeExpired(now: number): boolean {
		const countBefore = this.#count;
		while (this.#count > 0) {
			const oldest = (this.#next - this.#count + this.capacity) % this.capacity;
			if (now - this.#times[oldest]! <= this.retentionMilliseconds) {
				break;
			}

			this.#remove(this.#values[oldest]!, this.#weights[oldest]!);
			this.#summary = undefined;
		}

		return this.#count < countBefore;
	}

	#insert(value: number, weight: number): void {
		const index = this.#indexOf(value);
		this.#sortedValues.copyWithin(index + 1, index, this.#count);
		this.#sortedWeights.copyWithin(index + 1, index, this.#count);
		this.#sortedValues[index] = value;
		this.#sortedWeights[index] = weight;
		this.#count += 1;
	}

	#remove(value: number, weight: number): void {
		let index = this.#indexOf(value);
		while (this.#sortedWeights[index] !== weight) {
			index += 1;
		}

		this.#sortedValues.copyWithin(index, index + 1, this.#count);
		this.#sortedWeights.copyWithin(index, index + 1, this.#count);
		this.#count -= 1;
	}

	/** The index of the first sample that isn't below the value. */
	#indexOf(value: number): number {
		let [low, high] = [0, this.#count];
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#sortedValues[middle]! < value) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	#summarize(): Summary {
		if (this.#summary === undefined) {
			this.#summary = this.#computeSummary();
			this.#addedSince = 0;
		}

		return this.#summary;
	}

	#computeSummary(): Summary {
		let total = 0;
		for (let index = 0; index < this.#count; index += 1) {
			total += this.#sortedWeights[index]!;
		}

		const [from, to] = [0.25 * total, 0.75 * total];
		let passed = 0;
		let sum = 0;
		let lower = 0;
		let upper = 0;
		for (let index = 0; index < this.#count; index += 1) {
			const value = this.#sortedValues[index]!;
			const end = passed + this.#sortedWeights[index]!;
			sum += value * Math.max(0, Math.min(to, end) - Math.max(from, passed));
			lower = passed <= from ? value : lower;
			upper = passed < to ? value : upper;
			passed = end;
		}

		return {centre: total === 0 ? 0 : sum / (to - from), spread: upper - lower};
	}
}
