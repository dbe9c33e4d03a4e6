/** Conversion of times to a target's clock. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TargetTime} from '../../../src/base/target-time.js';
import {ClockReadings} from '../../../src/features/execution/clock-readings.js';

/** Has read the target's clock, 5000 ms ahead, every 250 ms up to 1000; the entry is then suspended for 400 ms, and reads it again. */
function readAroundSuspension(): ClockReadings {
	const readings = new ClockReadings();
	for (const at of [0, 250, 500, 750, 1000]) {
		readings.record(5000 + at as TargetTime, at);
	}

	readings.record(5400 + 1100 as TargetTime, 1100);
	return readings;
}

// Guards against a limit that moves with a suspension which the entry's clock didn't count.
test('a time from before a suspension is converted by a reading from before it, and one from afterwards by one from then', () => {
	const readings = readAroundSuspension();
	assert.deepEqual([readings.targetTimeOf(900), readings.targetTimeOf(1050), readings.targetTimeOf(1200), readings.recentAdvance(1200), readings.recentAdvance(1800)], [5900, 6050, 6600, 400, 0]);
});

// Guards against counting a noticed suspension twice: the times that are converted have been made earlier by it.
test('a time that was made earlier by a suspension is converted to the same time', () => {
	const readings = readAroundSuspension();
	readings.recordSkippedTime(300);
	assert.equal(readings.targetTimeOf(900 - 300), 5900);
	readings.explainSkippedTime(300);
	assert.equal(readings.targetTimeOf(900 - 300), 5900);
});

// Guards against converting by a clock step for which no suspension was the reason.
test('readings return to their times if skipped time was no suspension', () => {
	const readings = readAroundSuspension();
	readings.recordSkippedTime(300);
	readings.explainSkippedTime(0);
	assert.equal(readings.targetTimeOf(900), 5900);
});

test('without a reading there is no time, and the readings of a former incarnation are discarded', () => {
	const readings = readAroundSuspension();
	readings.clear();
	assert.deepEqual([readings.targetTimeOf(900), readings.recentAdvance(900)], [undefined, 0]);
});
