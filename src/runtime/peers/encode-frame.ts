/** Encoding of peer frames. */
import {Buffer} from 'node:buffer';
import {encode} from 'cbor-x';

const headerBytes = 4;

/** Encodes a value as CBOR, prefixed with its length as a 32-bit big-endian integer. */
export function encodeFrame(value: unknown): Uint8Array {
	const body = encode(value);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, headerBytes);
	return frame;
}
