/** Seeded random numbers. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const fractionSteps = 0x7F_FF_FF_FF;

/** Pseudorandom number generator whose sequence is determined by the seed. */
export class Random {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** An integer from 0 (inclusive) to the limit (exclusive). */
	below(limit: number): number {
		return uniformInt(this.#generator, 0, limit - 1);
	}

	/** A number from 0 (inclusive) to 1 (exclusive). */
	fraction(): number {
		return this.below(fractionSteps) / fractionSteps;
	}

	/** A random sample of `count` items without replacement, or all items if there are fewer. */
	sample<Item>(items: readonly Item[], count: number): readonly Item[] {
		const rest = [...items];
		const taken: Item[] = [];
		while (taken.length < count && rest.length > 0) {
			taken.push(...rest.splice(this.below(rest.length), 1));
		}

		return taken;
	}
}
