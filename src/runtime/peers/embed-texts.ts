/** Embedding of texts that CBOR doesn't keep. */
import type {JsonValue} from '../../base/json-value.js';
import {isPlainText} from '../../base/is-plain-text.js';
import {EmbeddedJson} from './embedded-json.js';

/** The decoder renames this key, since setting it would change an object's prototype. */
const prototypeKey = '__proto__';

/**
 * Replaces each text that isn't plain by `EmbeddedJson`, and each object with a key that would change. Such keys exist only in JSON
 * values, so that the whole object can be embedded. Returns a value without any of them unchanged.
 */
export function embedTexts(value: unknown): unknown {
	if (typeof value === 'string') {
		return isPlainText(value) ? value : new EmbeddedJson(value);
	}

	if (Array.isArray(value)) {
		return embedItems(value);
	}

	return typeof value === 'object' && value !== null && !(value instanceof Uint8Array) ? embedFields(value as Readonly<Record<string, unknown>>) : value;
}

function embedItems(items: readonly unknown[]): readonly unknown[] {
	const embedded = items.map(item => embedTexts(item));
	return embedded.some((item, index) => item !== items[index]) ? embedded : items;
}

function embedFields(fields: Readonly<Record<string, unknown>>): unknown {
	const entries = Object.entries(fields);
	if (!entries.every(([key]) => isPlainText(key) && key !== prototypeKey)) {
		return new EmbeddedJson(fields as JsonValue);
	}

	const embedded = entries.map(([key, value]) => [key, embedTexts(value)] as const);
	return embedded.some(([, value], index) => value !== entries[index]![1]) ? Object.fromEntries(embedded) : fields;
}
