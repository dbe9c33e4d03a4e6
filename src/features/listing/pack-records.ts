/** Encodes records of the target list. */
import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import type {ListRecord} from './list-record.js';

const offsetBytes = 8;
const lengthBytes = 4;
/** Size from which the records are compressed; the records of targets are much alike. */
const compressionThresholdBytes = 4096;
/** The fastest level, since peers wait while a list of thousands of targets is compressed. */
const level = 1;

/** One byte, 1 if the rest is deflated, then for each record: offset, length of the key, length of the value, key, value. */
export function packRecords(records: readonly ListRecord[]): Uint8Array {
	const packed = Buffer.concat(records.flatMap(record => encodeRecord(record)));
	return packed.length < compressionThresholdBytes
		? Buffer.concat([Buffer.from([0]), packed])
		: Buffer.concat([Buffer.from([1]), deflateRawSync(packed, {level})]);
}

function encodeRecord({offset, key, value}: ListRecord): readonly Uint8Array[] {
	const keyBytes = Buffer.from(key);
	const head = Buffer.alloc(offsetBytes + lengthBytes + lengthBytes);
	head.writeDoubleBE(offset, 0);
	head.writeUInt32BE(keyBytes.length, offsetBytes);
	// A length of 0 stands for a removed key; the store has no empty values.
	head.writeUInt32BE(value?.length ?? 0, offsetBytes + lengthBytes);
	return value === undefined ? [head, keyBytes] : [head, keyBytes, value];
}
