/** Clock and timers of a process that the soak suspends. */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, test} from 'node:test';
import {excludeSuspensions} from '../../soak/exclude-suspensions.js';

const suspendedMilliseconds = 300;
const blockedMilliseconds = 400;
const timerMilliseconds = 350;
const tolerance = 3;
/** Covers the rounding of floating-point differences only. */
const roundingTolerance = 0.001;

const folder = mkdtempSync(join(tmpdir(), 'savorylock-suspensions-'));
const file = join(folder, 'entry.suspension');
const readMonotonicTime = performance.now.bind(performance);
const {setTimeout: startTimer, clearTimeout: stopTimer} = globalThis;
/** Reading of the monotonic clock on which the last reading of the excluding clock is based. */
let monotonicReading = 0;
performance.now = () => {
	monotonicReading = readMonotonicTime();
	return monotonicReading;
};

excludeSuspensions(file);

after(() => {
	performance.now = readMonotonicTime;
	Object.assign(globalThis, {setTimeout: startTimer, clearTimeout: stopTimer});
	rmSync(folder, {recursive: true});
});

/** Blocks the process, and states a part of that time as a suspension. */
function suspend(): void {
	performance.now();
	const from = Date.now();
	writeFileSync(file, `${from} ${from + suspendedMilliseconds}`);
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockedMilliseconds);
}

/** Excludes the time that a reading itself takes, which includes reading the file and any preemption. */
function excludedMilliseconds(): number {
	const now = performance.now();
	return monotonicReading - now;
}

// Guards against a fault "suspension" that the entry's clock counts, so that the soak only plays pauses.
test('the clock excludes a suspension once, and no other gap', () => {
	const before = excludedMilliseconds();
	suspend();
	assert.ok(Math.abs(excludedMilliseconds() - before - suspendedMilliseconds) < roundingTolerance);
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockedMilliseconds);
	assert.ok(Math.abs(excludedMilliseconds() - before - suspendedMilliseconds) < roundingTolerance);
});

// Guards against timers that fire at the wake of a suspended entry, before their time on its clock.
test('a timer that becomes due during a suspension fires at its time on the clock', async () => {
	const startedAt = performance.now();
	const fired = new Promise<number>(resolve => {
		setTimeout(() => {
			resolve(performance.now());
		}, timerMilliseconds);
	});
	suspend();
	assert.ok(await fired - startedAt >= timerMilliseconds - tolerance);
});

// Guards against a timer that fires although it was cleared after a suspension.
test('a timer that was extended can be cleared', async () => {
	let hasFired = false;
	const timer = setTimeout(() => {
		hasFired = true;
	}, timerMilliseconds);
	suspend();
	await new Promise(resolve => {
		startTimer(resolve, 1);
	});
	clearTimeout(timer);
	await new Promise(resolve => {
		startTimer(resolve, 2 * timerMilliseconds);
	});
	assert.equal(hasFired, false);
});
