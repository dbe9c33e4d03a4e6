/** What entries send and call as their fleet grows. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {countFleet} from '../../bench/fleet-counts.js';

const milliseconds = 1000;
/** No load: one step of the drawing. */
const stepOnly = 5;

// With every entry connected to every other one, an entry of 97 sent and received 155 heartbeats a second without a job, and
// its small machine spent more on them than on its jobs.
test('what an entry does without a job grows with its zone and not with the fleet', async () => {
	const load = {jobsPerSecond: 0, milliseconds: stepOnly};
	const small = await countFleet({zones: 3, entriesInZone: 13, targetsInZone: 13}, load);
	const large = await countFleet({zones: 6, entriesInZone: 16, targetsInZone: 16}, load);
	assert.deepEqual({
		small: small.idleFrames <= 26, large: large.idleFrames <= 42, neighbours: large.neighbours <= 36, calls: large.idleCalls <= small.idleCalls * 1.1,
	}, {
		small: true, large: true, neighbours: true, calls: true,
	}, JSON.stringify({small, large}));
});

test('a task costs no more messages and calls in a fleet of 39 than in one of eight', async () => {
	const few = await countFleet({zones: 4, entriesInZone: 2, targetsInZone: 8}, {jobsPerSecond: 9, milliseconds});
	const many = await countFleet({zones: 3, entriesInZone: 13, targetsInZone: 82}, {jobsPerSecond: 14, milliseconds});
	assert.deepEqual({
		frames: many.addedFramesPerTask <= few.addedFramesPerTask, calls: many.callsPerTask <= few.callsPerTask * 1.1, refused: many.refusedShare <= 0.25,
	}, {frames: true, calls: true, refused: true}, JSON.stringify({few, many}));
});
