/** The time limit of orders. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ResponseTimes} from '../../../src/features/execution/response-times.js';

function limitAfter(milliseconds: readonly number[]): number {
	const times = new ResponseTimes();
	for (const sample of milliseconds) {
		times.record(sample);
	}

	return times.limitMilliseconds;
}

const repeated = (count: number, ...pattern: readonly number[]) => Array.from({length: count}, (_, index) => pattern[index % pattern.length]!);

test('the limit is the maximum without enough samples, follows response times, and stays within its bounds', () => {
	assert.deepEqual({
		unknown: limitAfter([]),
		few: limitAfter(repeated(10, 2)),
		quick: limitAfter(repeated(100, 2, 3)),
		slow: limitAfter(repeated(100, 20, 40)),
		verySlow: limitAfter(repeated(100, 200, 400)),
	}, {
		unknown: 150, few: 150, quick: 40, slow: 73, verySlow: 150,
	});
});

// When an entry slows down, an outdated limit would make it treat every order as lost and stop runs that it just started.
test('the limit adapts before a tenth of the orders of a slowed entry exceed it', () => {
	const times = new ResponseTimes();
	for (const sample of repeated(100, 8, 12)) {
		times.record(sample);
	}

	let exceededCount = 0;
	for (const sample of repeated(200, 40, 60)) {
		exceededCount += sample > times.limitMilliseconds ? 1 : 0;
		times.record(sample);
	}

	assert.equal(exceededCount < 20, true, String(exceededCount));
});
