/** Validation of JSON values. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {jsonValueSchema} from '../../src/base/json-value-schema.js';

// Guards against payloads and results that lose a key.
test('JSON values are returned as they are, with each of their keys', () => {
	for (const text of ['{"__proto__":{"a":1},"list":[{"__proto__":2}]}', '{"constructor":1,"toString":null}', '["\uFEFF","\\ud83d"]', 'null', '0']) {
		assert.equal(JSON.stringify(jsonValueSchema.parse(JSON.parse(text))), text);
	}
});

test('values that JSON can\'t represent are rejected', () => {
	for (const value of [undefined, Number.NaN, Number.POSITIVE_INFINITY, [undefined], {key: undefined}, () => 1, 1n, new Map()]) {
		assert.equal(jsonValueSchema.safeParse(value).success, false, typeof value);
	}
});
