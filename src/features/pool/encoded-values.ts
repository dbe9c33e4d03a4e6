/** Reads values of a decoded message. */

/**
 * Values of a list that came from another entry, taken in order. Peers have proved that they know the key, so that a value of
 * another type is a defect or another version: it's thrown as a `TypeError`, and the whole batch has no effect.
 */
export class EncodedValues {
	#next = 0;

	constructor(private readonly values: readonly unknown[]) {}

	text<Text extends string = string>(): Text {
		const value = this.#take();
		return typeof value === 'string' ? value as Text : this.#fail('text', value);
	}

	optionalText(): string | undefined {
		const value = this.#take();
		return value === undefined || typeof value === 'string' ? value : this.#fail('text or nothing', value);
	}

	number(): number {
		const value = this.#take();
		return typeof value === 'number' ? value : this.#fail('a number', value);
	}

	flag(): boolean {
		const value = this.#take();
		return typeof value === 'boolean' ? value : this.#fail('true or false', value);
	}

	bytes(): Uint8Array {
		const value = this.#take();
		return value instanceof Uint8Array ? value : this.#fail('bytes', value);
	}

	list(): readonly unknown[] {
		const value = this.#take();
		return Array.isArray(value) ? value : this.#fail('a list', value);
	}

	/** Each element of the next list, which is itself a list. */
	lists<Item>(read: (values: EncodedValues) => Item): readonly Item[] {
		return this.list().map(item => Array.isArray(item) ? read(new EncodedValues(item)) : this.#fail('a list of lists', item));
	}

	texts(): readonly string[] {
		return this.list().map(item => typeof item === 'string' ? item : this.#fail('a list of texts', item));
	}

	/** All values that are left. */
	rest(): readonly string[] {
		const rest = this.values.slice(this.#next);
		this.#next = this.values.length;
		return rest.map(item => typeof item === 'string' ? item : this.#fail('text', item));
	}

	/** A value that its reader checks itself. */
	any(): unknown {
		return this.#take();
	}

	#take(): unknown {
		this.#next += 1;
		return this.values[this.#next - 1];
	}

	#fail(wanted: string, value: unknown): never {
		throw new TypeError(`value ${this.#next} is ${typeof value}, not ${wanted}`);
	}
}
