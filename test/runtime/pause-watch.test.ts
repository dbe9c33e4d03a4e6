/** Pauses, as the two clocks show them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PauseWatch} from '../../src/runtime/pause-watch.js';
import {FakeClock} from '../support/fake-clock.js';

test('a process that was stopped notices it when it goes on, and a process that runs notices nothing', () => {
	const clock = new FakeClock();
	const watch = new PauseWatch(clock);
	const pauses: number[] = [];
	watch.onDidPause(milliseconds => {
		pauses.push(milliseconds);
	});
	clock.advance(5000);
	assert.equal(pauses.length, 0);
	clock.sleep(4000);
	clock.advance(100);
	assert.equal(pauses.length, 1);
	assert.equal(pauses[0]! >= 4000, true);
});

// A machine is suspended: its steady clock stands still, so that everything seems as fresh as before. Only the time of day
// shows that it was away.
test('a suspension shows on the time of day alone', () => {
	const clock = new FakeClock();
	const watch = new PauseWatch(clock);
	const pauses: number[] = [];
	watch.onDidPause(milliseconds => {
		pauses.push(milliseconds);
	});
	clock.advance(1000);
	clock.jumpWall(6000);
	clock.advance(100);
	assert.deepEqual(pauses, [6100]);
});
