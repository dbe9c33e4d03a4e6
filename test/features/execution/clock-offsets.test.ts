/** Tests of the comparison of a target's clock with this entry's. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {TargetTime} from '../../../src/base/target-time.js';
import {ClockOffsets} from '../../../src/features/execution/clock-offsets.js';

/** Offsets of a target whose clock is 5 s ahead, with a reading every 250 ms for a second. */
function createOffsets(): ClockOffsets {
	const offsets = new ClockOffsets();
	for (let at = 0; at <= 1000; at += 250) {
		offsets.record(at + 5000 as TargetTime, at);
	}

	return offsets;
}

test('a clock that advanced as much as ours shows no gap', () => {
	assert.equal(createOffsets().compare(6250 as TargetTime, 1249, 1250)?.milliseconds, 0);
});

// Guards against a resumed entry that reads several answers of its pause at once and then has nothing earlier to compare with.
test('delayed answers that are read together do not displace the earlier readings', () => {
	const offsets = createOffsets();
	for (let answer = 0; answer < 8; answer += 1) {
		offsets.record(6500 as TargetTime, 1010 + answer);
	}

	const gap = offsets.compare(10_020 as TargetTime, 1019, 1020);
	assert.deepEqual([gap?.milliseconds, gap !== undefined && gap.comparedSince < 1010], [4000, true]);
});

// Guards against taking the drift of a target that was not owned for long for a suspension.
test('readings older than ten seconds are not compared', () => {
	const offsets = createOffsets();
	assert.equal(offsets.compare(20_000 as TargetTime, 12_000, 12_000), undefined);
	assert.deepEqual([offsets.isExpired(10_000), offsets.isExpired(12_000)], [false, true]);
});

// Guards against taking the clock of a restarted target for that of its former incarnation, which shows a suspension that never was.
test('readings of a former incarnation are not compared', () => {
	const offsets = createOffsets();
	offsets.selectIncarnation(7 as Incarnation);
	assert.equal(offsets.compare(90_000 as TargetTime, 1249, 1250), undefined);
	offsets.record(90_000 as TargetTime, 1250);
	offsets.selectIncarnation(7 as Incarnation);
	assert.equal(offsets.compare(90_250 as TargetTime, 1499, 1500)?.milliseconds, 0);
});
