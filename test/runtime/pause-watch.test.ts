/** Pauses, as the two clocks show them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PauseWatch} from '../../src/runtime/pause-watch.js';
import {FakeClock} from '../support/fake-clock.js';

test('a process that was stopped notices it when it goes on, and a process that runs notices nothing', () => {
	const clock = new FakeClock();
	const watch = new PauseWatch(clock);
	const pauses: number[] = [];
	watch.onDidPause(({milliseconds}) => {
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
	watch.onDidPause(({milliseconds}) => {
		pauses.push(milliseconds);
	});
	clock.advance(1000);
	clock.advanceWallTime(6000);
	clock.advance(100);
	assert.deepEqual(pauses, [6100]);
});

// An entry is stopped for seconds. A request that arrived in that time is read before the end of its connection is, and its
// caller has submitted the job to another entry since: begun at once, its tasks would run twice at a time.
test('what is read just after a pause has to wait, whether the timer has fired or not', async () => {
	const clock = new FakeClock();
	const watch = new PauseWatch(clock);
	const passed: string[] = [];
	const read = async (name: string) => {
		await watch.whenAwake();
		passed.push(name);
	};

	await read('before');
	clock.advanceWallTime(3000);
	const reading = read('after');
	await Promise.resolve();
	assert.deepEqual(passed, ['before']);
	clock.advance(60);
	await reading;
	await read('later');
	assert.deepEqual(passed, ['before', 'after', 'later']);
});

function standstillsOf(watch: PauseWatch): number[] {
	const standstills: number[] = [];
	watch.onDidStandStill(milliseconds => {
		standstills.push(milliseconds);
	});
	return standstills;
}

// Guards against an entry that reads messages after a pause before its timers have shown it.
test('a standstill is noticed by whoever looks first, and a step of the time of day is none', () => {
	const clock = new FakeClock();
	const watch = new PauseWatch(clock);
	const standstills = standstillsOf(watch);
	clock.advanceWallTime(5000);
	watch.look();
	assert.deepEqual(standstills, []);
	clock.sleep(4000);
	watch.look();
	assert.deepEqual(standstills, [4000]);
	clock.advance(1000);
	assert.deepEqual(standstills, [4000]);
});

// Guards against a suspended machine, whose clocks count nothing of it, that acts on its targets' former leases.
test('a suspension shows once on the clocks of all targets', () => {
	const clock = new FakeClock();
	const watch = new PauseWatch(clock);
	const standstills = standstillsOf(watch);
	const since = clock.now();
	clock.advance(50);
	watch.noteUncounted({milliseconds: 300, since});
	watch.noteUncounted({milliseconds: 3000, since});
	watch.noteUncounted({milliseconds: 3010, since: since + 20});
	assert.deepEqual(standstills, [3000]);
	clock.advance(50);
	watch.noteUncounted({milliseconds: 2000, since: since + 60});
	assert.deepEqual(standstills, [3000, 2000]);
});
