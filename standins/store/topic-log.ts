/** A topic with one partition. */
import {Buffer} from 'node:buffer';

const lengthBytes = 4;

/** Records numbered from 0, of which the oldest may be trimmed. A keyed topic also keeps the latest value of each key. */
export class TopicLog {
	#firstOffset = 0;
	#records: Uint8Array[] = [];
	readonly #latest = new Map<string, {readonly value: Uint8Array; readonly offset: number}>();

	constructor(private readonly isKeyed: boolean) {}

	get firstOffset(): number {
		return this.#firstOffset;
	}

	get endOffset(): number {
		return this.#firstOffset + this.#records.length;
	}

	/** Keys with their latest values in base64, sorted by key. */
	get latest(): ReadonlyArray<{readonly key: string; readonly value: string; readonly offset: number}> {
		return [...this.#latest].sort(([left], [right]) => (left < right ? -1 : 1)).map(([key, {value, offset}]) => ({key, value: Buffer.from(value).toString('base64'), offset}));
	}

	/** Appends records, each prefixed by its length (4 bytes). */
	append(body: Uint8Array): void {
		const bytes = Buffer.from(body);
		let at = 0;
		while (at + lengthBytes <= bytes.length) {
			const length = bytes.readUInt32BE(at);
			this.#appendRecord(bytes.subarray(at + lengthBytes, at + lengthBytes + length));
			at += lengthBytes + length;
		}
	}

	/** Layout: end offset and first offset (8 bytes each), then the records from an offset on, each prefixed by its length. */
	read(from: number): Uint8Array {
		const header = Buffer.alloc(16);
		header.writeBigUInt64BE(BigInt(this.endOffset), 0);
		header.writeBigUInt64BE(BigInt(this.#firstOffset), 8);
		const records = this.#records.slice(from - this.#firstOffset).flatMap(record => {
			const length = Buffer.alloc(lengthBytes);
			length.writeUInt32BE(record.length);
			return [length, record];
		});
		return Buffer.concat([header, ...records]);
	}

	dropBefore(offset: number): void {
		this.#records = this.#records.slice(Math.max(0, offset - this.#firstOffset));
		this.#firstOffset = Math.max(this.#firstOffset, offset);
	}

	#appendRecord(record: Uint8Array): void {
		if (this.isKeyed) {
			const valueAt = 1 + record[0]!;
			const key = Buffer.from(record.subarray(1, valueAt)).toString();
			const value = record.subarray(valueAt);
			if (value.length === 0) {
				this.#latest.delete(key);
			} else {
				this.#latest.set(key, {value, offset: this.endOffset});
			}
		}

		this.#records.push(record);
	}
}
