/** Reports of a target that arrive out of order. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {TargetTime} from '../../../src/base/target-time.js';
import {ReportOrder} from '../../../src/features/execution/report-order.js';

type Row = readonly [incarnation: number | undefined, clock: number, askedAtStep: number];

function classify(rows: readonly Row[]): readonly string[] {
	const order = new ReportOrder();
	return rows.map(([incarnation, clock, askedAtStep]) => order.classify({incarnation: incarnation as Incarnation | undefined, clock: clock as TargetTime}, askedAtStep));
}

test('reports of one incarnation are ordered by its clock', () => {
	assert.deepEqual(classify([[7, 100, 1], [7, 90, 2], [7, 100, 3], [7, 130, 4]]), ['newest', 'overtaken', 'newest', 'newest']);
});

test('reports without an incarnation are treated as one incarnation', () => {
	assert.deepEqual(classify([[undefined, 100, 1], [undefined, 90, 2], [undefined, 110, 3]]), ['newest', 'overtaken', 'newest']);
});

// A restart resets the clock, and the new incarnation has a lower number if the wall clock was set back.
test('a new incarnation begins with the first report that was requested after the latest one', () => {
	assert.deepEqual(classify([[7, 100, 1], [9, 5, 2], [9, 8, 3], [8, 4, 4]]), ['newest', 'restarted', 'newest', 'restarted']);
});

test('a late report of a former incarnation is detected regardless of its clock', () => {
	assert.deepEqual(classify([[7, 100, 1], [9, 5, 4], [7, 130, 3], [9, 6, 5]]), ['newest', 'restarted', 'former', 'newest']);
});
