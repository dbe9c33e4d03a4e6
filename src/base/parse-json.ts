/** Parsing of JSON from outside. */

const decoder = new TextDecoder('utf8', {fatal: true});

/**
 * Parses JSON in UTF-8. A byte order mark before it is ignored, as RFC 8259 allows. Throws a `TypeError` for invalid UTF-8, whose
 * replacement would change texts, and a `SyntaxError` for invalid JSON.
 */
export function parseJson(bytes: Uint8Array): unknown {
	return JSON.parse(decoder.decode(bytes)) as unknown;
}
