/** JSON within CBOR. */
import type {JsonValue} from '../../base/json-value.js';

/** A value that is sent as JSON, which escapes what a CBOR text can't represent. */
export class EmbeddedJson {
	constructor(readonly value: JsonValue) {}
}
