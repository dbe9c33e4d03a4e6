/** Reports of a target that come in another order than they were asked for. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {TargetTime} from '../../../src/base/target-time.js';
import {ReportOrder} from '../../../src/features/execution/report-order.js';

type Row = readonly [incarnation: number | undefined, clock: number, askedAtStep: number];

function agesOf(rows: readonly Row[]): readonly string[] {
	const order = new ReportOrder();
	return rows.map(([incarnation, clock, askedAtStep]) => order.classify({incarnation: incarnation as Incarnation | undefined, clock: clock as TargetTime}, askedAtStep));
}

test('reports of one life are ordered by its clock', () => {
	assert.deepEqual(agesOf([[7, 100, 1], [7, 90, 2], [7, 100, 3], [7, 130, 4]]), ['newest', 'overtaken', 'newest', 'newest']);
});

test('where lives aren\'t stated all reports are of one', () => {
	assert.deepEqual(agesOf([[undefined, 100, 1], [undefined, 90, 2], [undefined, 110, 3]]), ['newest', 'overtaken', 'newest']);
});

// The next life's clock starts anew; a time of day that was set back between the two makes its start the earlier one.
test('another life begins with the first report that was asked for after the last one', () => {
	assert.deepEqual(agesOf([[7, 100, 1], [9, 5, 2], [9, 8, 3], [8, 4, 4]]), ['newest', 'restarted', 'newest', 'restarted']);
});

test('a late report of the former life is known as such, whatever its clock says', () => {
	assert.deepEqual(agesOf([[7, 100, 1], [9, 5, 4], [7, 130, 3], [9, 6, 5]]), ['newest', 'restarted', 'former', 'newest']);
});
