/** Decodes records of the target list. */
import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import type {ListRecord} from './list-record.js';

const offsetBytes = 8;
const lengthBytes = 4;
const headBytes = offsetBytes + lengthBytes + lengthBytes;
/** Larger than any valid list. */
const maxOutputLength = 67_108_864;

/** Throws if the bytes were not produced by `packRecords`. */
export function unpackRecords(bytes: Uint8Array): readonly ListRecord[] {
	const packed = Buffer.from(bytes.buffer, bytes.byteOffset + 1, bytes.length - 1);
	const plain = bytes[0] === 1 ? inflateRawSync(packed, {maxOutputLength}) : packed;
	const records: ListRecord[] = [];
	let at = 0;
	while (at < plain.length) {
		const keyAt = at + headBytes;
		const valueAt = keyAt + plain.readUInt32BE(at + offsetBytes);
		const end = valueAt + plain.readUInt32BE(at + offsetBytes + lengthBytes);
		if (end > plain.length) {
			throw new RangeError(`record ends at byte ${end}, but there are only ${plain.length} bytes`);
		}

		records.push({offset: plain.readDoubleBE(at), key: plain.toString('utf8', keyAt, valueAt), value: end === valueAt ? undefined : plain.subarray(valueAt, end)});
		at = end;
	}

	return records;
}
