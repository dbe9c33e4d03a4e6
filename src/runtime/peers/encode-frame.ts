/** Makes frames for the peer connections. */
import {Buffer} from 'node:buffer';
import {encode} from 'cbor-x';

const headerBytes = 4;

/** One value in CBOR behind its length of four bytes. */
export function encodeFrame(value: unknown): Uint8Array {
	const body = encode(value);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, headerBytes);
	return frame;
}
