/** The CBOR codec of the peer protocol. */
import {Buffer} from 'node:buffer';
// The package's main entry point loads an optional native decoder, which handles invalid texts differently and isn't in the bundle.
import {addExtension, decode, encode} from 'cbor-x/decode';
import {EmbeddedJson} from './embedded-json.js';

/** Tag of a byte string with JSON in UTF-8, as registered at IANA. */
const embeddedJsonTag = 262;

addExtension<EmbeddedJson, Uint8Array>({
	Class: EmbeddedJson, // eslint-disable-line @typescript-eslint/naming-convention
	tag: embeddedJsonTag,
	encode: ({value}, encodeItem) => encodeItem(Buffer.from(JSON.stringify(value))),
	// The extension stands for the value itself, not for an instance of the class.
	decode: bytes => JSON.parse(Buffer.from(bytes).toString()) as EmbeddedJson,
});

/** Encodes and decodes CBOR; `EmbeddedJson` is decoded to its value. Decoding throws an error for malformed input. */
export const cbor = {
	encode: (value: unknown): Uint8Array => encode(value),
	decode: (bytes: Uint8Array): unknown => decode(bytes) as unknown,
};
