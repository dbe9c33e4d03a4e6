/** Reads the values of a positional list. */

/**
 * Reads the values of a list from a peer in order and checks their types. Peers are authenticated, so an unexpected type means a
 * defect or an incompatible version: the methods throw a `TypeError`, and the whole batch is discarded.
 */
export class EncodedValues {
	#next = 0;

	constructor(private readonly values: readonly unknown[]) {}

	text<Text extends string = string>(): Text {
		const value = this.#take();
		return typeof value === 'string' ? value as Text : this.#fail('a string', value);
	}

	optionalText(): string | undefined {
		const value = this.#take();
		return value === undefined || typeof value === 'string' ? value : this.#fail('a string or undefined', value);
	}

	number(): number {
		const value = this.#take();
		return typeof value === 'number' ? value : this.#fail('a number', value);
	}

	optionalNumber(): number | undefined {
		const value = this.#take();
		return value === undefined || typeof value === 'number' ? value : this.#fail('a number or undefined', value);
	}

	/** Reads a number that is neither infinite nor `NaN`. */
	finiteNumber(): number {
		const value = this.number();
		return Number.isFinite(value) ? value : this.#fail('a finite number', value);
	}

	/** The same, or undefined. */
	optionalFiniteNumber(): number | undefined {
		const value = this.optionalNumber();
		return value === undefined || Number.isFinite(value) ? value : this.#fail('a finite number or undefined', value);
	}

	flag(): boolean {
		const value = this.#take();
		return typeof value === 'boolean' ? value : this.#fail('a boolean', value);
	}

	bytes(): Uint8Array {
		const value = this.#take();
		return value instanceof Uint8Array ? value : this.#fail('bytes', value);
	}

	list(): readonly unknown[] {
		const value = this.#take();
		return Array.isArray(value) ? value : this.#fail('a list', value);
	}

	/** Reads a list of lists with the given function. */
	lists<Item>(read: (values: EncodedValues) => Item): readonly Item[] {
		return this.list().map(item => Array.isArray(item) ? read(new EncodedValues(item)) : this.#fail('a list of lists', item));
	}

	texts(): readonly string[] {
		return this.list().map(item => typeof item === 'string' ? item : this.#fail('a list of strings', item));
	}

	/** Reads a list of numbers; an absent one is empty. */
	optionalNumbers(): readonly number[] {
		const value = this.#take() ?? [];
		return Array.isArray(value) ? value.map(item => typeof item === 'number' ? item : this.#fail('a list of numbers', item)) : this.#fail('a list of numbers', value);
	}

	/** Reads all remaining values as strings. */
	rest(): readonly string[] {
		const rest = this.values.slice(this.#next);
		this.#next = this.values.length;
		return rest.map(item => typeof item === 'string' ? item : this.#fail('a string', item));
	}

	/** Returns the next value unchecked; the caller validates it. */
	any(): unknown {
		return this.#take();
	}

	#take(): unknown {
		this.#next += 1;
		return this.values[this.#next - 1];
	}

	#fail(expected: string, value: unknown): never {
		throw new TypeError(`value ${this.#next} is ${typeof value}, not ${expected}`);
	}
}
