/** Tests of the event catalogue and its documentation. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {eventCatalogue} from '../../../src/runtime/journal/event-catalogue.js';

test('docs/EVENTS.md matches the event catalogue', () => {
	const rows = readFileSync('docs/EVENTS.md', 'utf8').split('\n').filter(line => /^\| \d/v.test(line));
	const expected = Object.entries(eventCatalogue).map(([name, {number, level, meaning, fields}]) => `| ${number} | ${name} | ${level} | ${meaning} | ${fields.join(', ')} |`);
	assert.deepEqual(rows, expected);
});

test('event numbers are unique', () => {
	const numbers = Object.values(eventCatalogue).map(({number}) => number);
	assert.equal(new Set(numbers).size, numbers.length);
});
