/** Drawn schedules of paused, slow and misdated entries in which a task ran twice at a time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {fleetScheduleArbitrary} from '../../support/fleet-schedule-arbitrary.js';
import {FleetScheduleRunner} from '../../support/fleet-schedule-runner.js';

async function peakConcurrentRuns(seed: number, path: string): Promise<number> {
	let peak = 0;
	await fc.check(fc.asyncProperty(fleetScheduleArbitrary(), async schedule => {
		const play = new FleetScheduleRunner(schedule);
		await play.run();
		peak = Math.max(peak, play.peakConcurrentRuns);
	}), {seed, path, numRuns: 1});
	return peak;
}

// Guards against a limit of a lease that moves with an unnoticed suspension of its owner.
test('no task runs twice at a time while owners are suspended unnoticed', async () => {
	assert.deepEqual([await peakConcurrentRuns(480_003, '19'), await peakConcurrentRuns(496_002, '57')], [1, 1]);
});

// Guards against an entry that starts a task after an unnoticed suspension, because a target that it has just got knows of none.
test('no task runs twice at a time after an unnoticed suspension of an entry with new targets', async () => {
	assert.equal(await peakConcurrentRuns(510_001, '5'), 1);
});

// Guards against a run of a requester that is 360 ms late, wrongly counted a suspension and is then suspended.
test('no task runs twice at a time beside a late requester that counted a step of its wall clock as a suspension', async () => {
	assert.equal(await peakConcurrentRuns(510_005, '44'), 1);
});

// Guards against a suspension that is ruled out because the question is asked again, and that peers' kept messages show only bit by bit.
test('no task runs twice at a time after an unnoticed suspension during which all messages were kept', async () => {
	assert.equal(await peakConcurrentRuns(520_004, '50'), 1);
});
