/** Preference among targets of different speeds. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TargetPreference} from '../../../src/features/execution/target-preference.js';
import {createRunRequest} from '../../support/create-run-request.js';

const speeds = (...slowdowns: readonly number[]) => slowdowns.map(slowdown => ({slowdown, labels: []}));

/** The preference of a task with the given expected time, of which so many milliseconds have passed since its submission. */
function preferenceOf(expectedMilliseconds: number, passed = 0) {
	return new TargetPreference(createRunRequest('task', String(expectedMilliseconds)), (1.6 * expectedMilliseconds) + 60 - passed);
}

function select(preference: TargetPreference, ...slowdowns: readonly number[]) {
	const {targets, isInTime} = preference.select(speeds(...slowdowns), speed => speed);
	return {slowdowns: targets.map(({slowdown}) => slowdown), isInTime};
}

// Fast targets must stay free for the tasks that are in time only there.
test('a short task prefers slow targets, a long one those on which it is in time', () => {
	assert.deepEqual(select(preferenceOf(55), 1.43, 0.59, 1.4, 1), {slowdowns: [1.43, 1.4], isInTime: true});
	assert.deepEqual(select(preferenceOf(800), 1.43, 0.59, 1.4, 1), {slowdowns: [1], isInTime: true});
	assert.deepEqual(select(preferenceOf(800), 1.43, 0.59, 0.6), {slowdowns: [0.59, 0.6], isInTime: true});
});

test('a task that is in time nowhere prefers the fastest targets', () => {
	assert.deepEqual(select(preferenceOf(800), 1.43, 1.9), {slowdowns: [1.43], isInTime: false});
	assert.deepEqual(select(preferenceOf(800, 2000), 1.43, 0.59, 0.62), {slowdowns: [0.59, 0.62], isInTime: false});
	assert.deepEqual(select(preferenceOf(800)), {slowdowns: [], isInTime: false});
});

// Where targets differ only by the inaccuracy of the estimates, the choice by fit and at random must not change.
test('slowdowns within 10% are equal', () => {
	assert.deepEqual(select(preferenceOf(55), 0.96, 1, 1.04), {slowdowns: [0.96, 1, 1.04], isInTime: true});
	assert.deepEqual(select(preferenceOf(800, 900), 0.96, 1, 1.04), {slowdowns: [0.96, 1, 1.04], isInTime: false});
});

test('a target far from the data counts as slower', () => {
	const request = {
		...createRunRequest('task', '55'), place: {
			label: undefined, nearLabel: 'near', farFactor: 2, maxTasksPerTarget: undefined,
		},
	};
	const targets = [{slowdown: 1, labels: ['near']}, {slowdown: 1, labels: []}];
	assert.deepEqual(new TargetPreference(request, 100).select(targets, target => target), {targets: [targets[0]], isInTime: true});
});

test('a task waits for a faster target while it still has a chance on a free one', () => {
	const [fast, slow, normal] = speeds(0.59, 1.43, 1) as [{slowdown: number; labels: never[]}, {slowdown: number; labels: never[]}, {slowdown: number; labels: never[]}];
	const waits = (expected: number, passed: number, known = fast, free = slow) => Math.round(preferenceOf(expected, passed).waitMilliseconds(known, free, passed));
	assert.equal(waits(800, 0), 82);
	assert.equal(waits(800, 50), 32);
	assert.equal(waits(800, 100), 0);
	// No faster target is known, or the task would be late there too.
	assert.equal(waits(800, 600, normal, normal), 0);
	assert.equal(waits(800, 1000), 0);
});

// A task that is late on all free targets from the beginning must not keep waiting until it is late on the fast ones too.
test('a task without a chance on the free targets waits for part of its spare time', () => {
	const [fast, slow] = speeds(0.59, 3) as [{slowdown: number; labels: never[]}, {slowdown: number; labels: never[]}];
	const spare = (1.6 * 800) + 60 - (800 * 0.59 * 1.4);
	const waits = (passed: number) => Math.round(preferenceOf(800, passed).waitMilliseconds(fast, slow, passed));
	assert.equal(waits(0), Math.round(spare / 2));
	assert.equal(waits(300), Math.round((spare / 2) - 300));
	assert.equal(waits(400), 0);
});

// A job that has not begun is refused at its latest start. It must not be refused while a target is free, only because a faster one
// is known.
test('a task takes a free target before its job would be refused', () => {
	const [fast, faster, normal] = speeds(0.2, 0.5, 1) as [{slowdown: number; labels: never[]}, {slowdown: number; labels: never[]}, {slowdown: number; labels: never[]}];
	for (let passed = 0; passed < 530; passed += 10) {
		for (const free of [faster, normal]) {
			const wait = preferenceOf(800, passed).waitMilliseconds(fast, free, passed);
			assert.ok(passed + wait <= (0.6 * 800) + 60 - 10, `${passed} + ${wait}`);
		}
	}

	assert.equal(preferenceOf(800, 541).waitMilliseconds(fast, faster, 541), 0);
});
