/** Estimation of caller timeouts and of the ages of submissions. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {Random} from '../../../src/base/random.js';
import {CallerTimeouts} from '../../../src/features/dispatch/caller-timeouts.js';

const queue = 'queue' as ProfileName;

/** Timeouts of first submissions range from 1760 to 2800 ms. */
function freshTimeout(random: Random): number {
	return 1760 + (1040 * (random.fraction() ** 3));
}

function trained(samples: number) {
	const timeouts = new CallerTimeouts();
	const random = new Random(1);
	let now = 0;
	for (let sample = 0; sample < samples; sample += 1) {
		now += 50;
		timeouts.estimateAge(queue, freshTimeout(random), now);
	}

	return {timeouts, random, now};
}

test('ages are 0 until enough samples are recorded, and first submissions are rarely considered old', () => {
	assert.equal(trained(10).timeouts.estimateAge(queue, 300, 0), 0);
	const {timeouts, random} = trained(200);
	const ages = Array.from({length: 1000}, (_, index) => timeouts.estimateAge(queue, freshTimeout(random), 10_000 + (index * 50)));
	assert.deepEqual({
		areFewOld: ages.filter(age => age > 30).length < 20,
		isOldestYoung: Math.max(...ages) < 60,
	}, {areFewOld: true, isOldestYoung: true});
});

// Guards against learning from resubmissions: after an outage they make up half of the traffic for two seconds.
test('resubmissions after an outage are recognised, and their ages are not overestimated', () => {
	const {timeouts, random, now} = trained(400);
	const ages: number[] = [];
	for (let sample = 0; sample < 40; sample += 1) {
		timeouts.estimateAge(queue, freshTimeout(random), now + (sample * 50));
		ages.push(timeouts.estimateAge(queue, freshTimeout(random) - 1300, now + (sample * 50) + 25));
	}

	assert.deepEqual([Math.min(...ages) > 200, Math.max(...ages) <= 1300], [true, true], `${Math.min(...ages)} to ${Math.max(...ages)}`);
});

// Guards against refusing all jobs as too old after callers shorten their timeouts to a third.
test('shorter timeouts are accepted as the new typical value after some seconds', () => {
	const {timeouts, now} = trained(400);
	const ageAfter = (milliseconds: number) => timeouts.estimateAge(queue, 600, now + milliseconds);
	const first = ageAfter(50);
	for (let at = 100; at < 12_000; at += 50) {
		ageAfter(at);
	}

	assert.deepEqual([first > 1000, ageAfter(12_000)], [true, 0]);
});

test('a seeded timeout applies only to a queue without an estimate', () => {
	const seeded = new CallerTimeouts();
	seeded.seed(queue, 1800);
	assert.equal(seeded.estimateAge(queue, 500, 0), 1300);
	const {timeouts} = trained(200);
	timeouts.seed(queue, 9000);
	assert.equal(timeouts.typical.get(queue)! < 2000, true);
});

// Guards against resubmissions that pull down the estimate by which they are recognised, so that after a few of them none is.
test('resubmissions are recognised while a fifth of all submissions are some, also with long timeouts', () => {
	const timeouts = new CallerTimeouts();
	timeouts.seed(queue, 20_000);
	let recognised = 0;
	for (let sample = 1; sample <= 400; sample += 1) {
		const isResubmitted = sample % 5 === 0;
		const age = timeouts.estimateAge(queue, isResubmitted ? 18_700 : 20_000, sample * 10);
		recognised += isResubmitted && age >= 650 ? 1 : 0;
	}

	assert.equal(recognised >= 72, true, `${recognised} of 80`);
});
