/** One partition of a topic. */
import {Buffer} from 'node:buffer';

const lengthBytes = 4;

/** Records numbered from 0; the oldest may have been dropped, the newest of each key are kept besides. */
export class TopicLog {
	#first = 0;
	#records: Uint8Array[] = [];
	readonly #newest = new Map<string, {readonly value: Uint8Array; readonly offset: number}>();

	constructor(private readonly isKeyed: boolean) {}

	get first(): number {
		return this.#first;
	}

	get end(): number {
		return this.#first + this.#records.length;
	}

	/** Keys with their newest values, in the order of the keys. */
	get newest(): ReadonlyArray<{readonly key: string; readonly value: string; readonly offset: number}> {
		return [...this.#newest].sort(([left], [right]) => (left < right ? -1 : 1)).map(([key, {value, offset}]) => ({key, value: Buffer.from(value).toString('base64'), offset}));
	}

	/** Takes records, each behind its length of four bytes. */
	append(body: Uint8Array): void {
		const bytes = Buffer.from(body);
		let at = 0;
		while (at + lengthBytes <= bytes.length) {
			const length = bytes.readUInt32BE(at);
			this.#take(bytes.subarray(at + lengthBytes, at + lengthBytes + length));
			at += lengthBytes + length;
		}
	}

	/** The end and the first offset, 8 bytes each, and the records from an offset on. */
	read(from: number): Uint8Array {
		const header = Buffer.alloc(16);
		header.writeBigUInt64BE(BigInt(this.end), 0);
		header.writeBigUInt64BE(BigInt(this.#first), 8);
		const records = this.#records.slice(from - this.#first).flatMap(record => {
			const length = Buffer.alloc(lengthBytes);
			length.writeUInt32BE(record.length);
			return [length, record];
		});
		return Buffer.concat([header, ...records]);
	}

	dropBefore(offset: number): void {
		this.#records = this.#records.slice(Math.max(0, offset - this.#first));
		this.#first = Math.max(this.#first, offset);
	}

	#take(record: Uint8Array): void {
		if (this.isKeyed) {
			const valueAt = 1 + record[0]!;
			const key = Buffer.from(record.subarray(1, valueAt)).toString();
			const value = record.subarray(valueAt);
			if (value.length === 0) {
				this.#newest.delete(key);
			} else {
				this.#newest.set(key, {value, offset: this.end});
			}
		}

		this.#records.push(record);
	}
}
