/** Encoding of peer frames. */
import {Buffer} from 'node:buffer';
import {cbor} from './cbor.js';
import {embedTexts} from './embed-texts.js';

const headerBytes = 4;
/**
 * First bytes of U+FEFF and of the replacement character in UTF-8, of a surrogate that is encoded like any other character, and of
 * the key `__proto__`.
 */
const suspectBytes = [0xEF, 0xED, 0x5F];

/**
 * Encodes a value as CBOR, prefixed with its length as a 32-bit big-endian integer. Texts that aren't plain are embedded as JSON, unless
 * the frame is for a peer of a former version, which can't read it.
 */
export function encodeFrame(value: unknown, isForFormerPeer = false): Uint8Array {
	const body = isForFormerPeer ? cbor.encode(value) : encodeExactly(value);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, headerBytes);
	return frame;
}

/** Searches the value for texts to embed only if the bytes may contain one, since that costs far more than looking at the bytes. */
function encodeExactly(value: unknown): Uint8Array {
	const body = cbor.encode(value);
	if (!suspectBytes.some(byte => body.includes(byte))) {
		return body;
	}

	const embedded = embedTexts(value);
	return embedded === value ? body : cbor.encode(embedded);
}
