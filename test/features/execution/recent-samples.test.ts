/** Estimates from the latest samples. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {RecentSamples} from '../../../src/features/execution/recent-samples.js';

function samplesOf(capacity: number, values: readonly number[]): RecentSamples {
	const samples = new RecentSamples(capacity);
	for (const value of values) {
		samples.add(value);
	}

	return samples;
}

test('the centre is the mean of the middle half, and outliers have no effect', () => {
	assert.equal(samplesOf(8, []).centre, 0);
	assert.equal(samplesOf(8, [3]).centre, 3);
	assert.equal(samplesOf(8, [1, 2, 3, 4]).centre, 2.5);
	assert.equal(samplesOf(8, [1, 2, 3, 400]).centre, 2.5);
	assert.equal(samplesOf(8, [1, 2, 3, 400]).spread, 1);
});

test('samples count by their weight', () => {
	const samples = new RecentSamples(8);
	samples.add(1, 0.1);
	samples.add(2, 5);
	samples.add(3, 0.1);
	assert.equal(samples.centre, 2);
});

// The samples are kept in order of value as they come and go; a wrong removal would keep outdated ones for ever.
test('only the latest samples count, whatever their order', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: -5, max: 5}), {minLength: 1, maxLength: 40}), fc.integer({min: 1, max: 9}), (values, capacity) => {
		const expected = samplesOf(capacity, values.slice(-capacity));
		const actual = samplesOf(capacity, values);
		assert.equal(actual.count, expected.count);
		assert.ok(Math.abs(actual.centre - expected.centre) < 1e-9);
		assert.equal(actual.spread, expected.spread);
	}));
});

// A window that is only bounded by the number of samples keeps them for ever once no more arrive.
test('samples expire after the retention period', () => {
	const samples = new RecentSamples(3, 100);
	for (const [value, now] of [[1, 0], [2, 50], [3, 60], [4, 70]] as const) {
		samples.add(value, 1, now);
	}

	assert.equal(samples.removeExpired(150), false);
	assert.equal(samples.centre, 3);
	assert.equal(samples.removeExpired(161), true);
	assert.equal(samples.centre, 4);
	samples.add(6, 1, 300);
	assert.equal(samples.count, 1);
	assert.equal(samples.centre, 6);
});
