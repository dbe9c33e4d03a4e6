/** Randomness from a seed, so that a run can be repeated. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const fractionSteps = 0x7F_FF_FF_FF;

/** A generator with its state; the daemon seeds it from its identity, tests from a constant. */
export class Random {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A whole number from 0 up to, not including, the limit. */
	below(limit: number): number {
		return uniformInt(this.#generator, 0, limit - 1);
	}

	/** A number from 0 up to, not including, 1. */
	fraction(): number {
		return this.below(fractionSteps) / fractionSteps;
	}

	/** So many different items at random, or all of them where there are fewer. */
	sample<Item>(items: readonly Item[], count: number): readonly Item[] {
		const rest = [...items];
		const taken: Item[] = [];
		while (taken.length < count && rest.length > 0) {
			taken.push(...rest.splice(this.below(rest.length), 1));
		}

		return taken;
	}
}
