/** Property test of paused, slow and misdated entries in fleets that are too large for a full mesh. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {fleetScheduleArbitrary} from '../../support/fleet-schedule-arbitrary.js';
import {FleetScheduleRunner} from '../../support/fleet-schedule-runner.js';

const seed = Number(process.env.PROPERTY_SEED ?? 20_261_203);
const runs = Number(process.env.PROPERTY_RUNS ?? 12);
/** Restricts the schedules to some faults, separated by commas. */
const faults = process.env.PROPERTY_FAULTS?.split(',');

// Guards against entries of large fleets that start tasks, or leave them running, beside their callers' next submissions.
test('no task of a large fleet runs twice at the same time, whichever entries are paused, slow or misdated', async () => {
	await fc.assert(fc.asyncProperty(fleetScheduleArbitrary(faults), async schedule => {
		const play = new FleetScheduleRunner(schedule);
		await play.run();
		assert.equal(play.peakConcurrentRuns <= 1, true);
	}), {seed, numRuns: runs, endOnFailure: process.env.PROPERTY_SHRINK === '0'});
});
