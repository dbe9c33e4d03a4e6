/** Records of the list as bytes. */
import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import type {ListRecord} from './list-record.js';

const offsetBytes = 8;
const lengthBytes = 4;
/** From so many bytes on they're deflated; entries of targets are much alike. */
const deflateBytes = 4096;
/** The fastest level: a whole list of thousands of targets is packed while others wait for it. */
const level = 1;

/** One byte that says whether the rest is deflated, then for each record offset, length of the key, key, length of the value and value. */
export function packRecords(records: readonly ListRecord[]): Uint8Array {
	const packed = Buffer.concat(records.flatMap(record => partsOf(record)));
	return packed.length < deflateBytes
		? Buffer.concat([Buffer.from([0]), packed])
		: Buffer.concat([Buffer.from([1]), deflateRawSync(packed, {level})]);
}

function partsOf({offset, key, value}: ListRecord): readonly Uint8Array[] {
	const keyBytes = Buffer.from(key);
	const head = Buffer.alloc(offsetBytes + lengthBytes + lengthBytes);
	head.writeDoubleBE(offset, 0);
	head.writeUInt32BE(keyBytes.length, offsetBytes);
	// A value of no bytes can't be: the store drops the key then.
	head.writeUInt32BE(value?.length ?? 0, offsetBytes + lengthBytes);
	return value === undefined ? [head, keyBytes] : [head, keyBytes, value];
}
