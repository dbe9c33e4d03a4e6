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

type Traffic = {readonly timeout: number; readonly spread: number; readonly resubmittedInverse: number; readonly interval: number};

/** Submits first submissions and resubmissions by turns; returns the wrongly recognised ones of each, and when the last one came. */
function submitTraffic(timeouts: CallerTimeouts, {timeout, spread, resubmittedInverse, interval}: Traffic, startedAt = 0, samples = 800) {
	const random = new Random(1);
	const wrong = {first: 0, resubmitted: 0, lastAfter: 0};
	for (let sample = 1; sample <= samples; sample += 1) {
		const isResubmitted = sample % resubmittedInverse === 0;
		const stated = timeout + (spread * (random.fraction() - 0.5)) - (isResubmitted ? 1300 : 0);
		const isRecognised = timeouts.estimateAge(queue, stated, startedAt + (sample * interval)) >= 650;
		if (isRecognised !== isResubmitted) {
			wrong[isResubmitted ? 'resubmitted' : 'first'] += 1;
			wrong.lastAfter = sample * interval;
		}
	}

	return wrong;
}

// Guards against thresholds that are a share of the timeout, although resubmissions are younger by a time.
test('resubmissions are told from first submissions whatever the usual timeout, its spread and their share are', () => {
	for (const timeout of [1500, 4000, 8000, 12_000, 20_000, 31_000, 45_000]) {
		for (const spread of [0, 0.01 * timeout, 0.02 * timeout]) {
			for (const resubmittedInverse of [2, 3, 5, 10]) {
				const timeouts = new CallerTimeouts();
				timeouts.seed(queue, timeout);
				const {first, resubmitted} = submitTraffic(timeouts, {
					timeout, spread, resubmittedInverse, interval: 10,
				});
				assert.deepEqual({first, resubmitted}, {first: 0, resubmitted: 0}, `${timeout} ms, spread ${spread} ms, one in ${resubmittedInverse}`);
			}
		}
	}
});

// Guards against an estimate that stays at the resubmissions' timeout because they were among its first samples.
test('resubmissions are recognised in a queue that began with them', () => {
	for (const resubmittedInverse of [3, 5, 10]) {
		const timeouts = new CallerTimeouts();
		const traffic = {
			timeout: 20_000, spread: 200, resubmittedInverse, interval: 10,
		};
		submitTraffic(timeouts, traffic, 0, 100);
		assert.deepEqual(submitTraffic(timeouts, traffic, 1000), {first: 0, resubmitted: 0, lastAfter: 0}, `one in ${resubmittedInverse}`);
	}
});

// Guards against an estimate that follows a change of the callers' timeouts too slowly to recognise resubmissions afterwards.
test('changed timeouts are learned within seconds, also while some submissions are resubmissions', () => {
	for (const [before, after] of [[2000, 20_000], [20_000, 2000], [20_000, 18_700], [20_000, 19_000], [20_000, 20_700], [8000, 45_000]] as const) {
		for (const resubmittedInverse of [5, Number.POSITIVE_INFINITY]) {
			const timeouts = new CallerTimeouts();
			const traffic = {spread: 100, resubmittedInverse, interval: 20};
			submitTraffic(timeouts, {...traffic, timeout: before});
			const {lastAfter} = submitTraffic(timeouts, {...traffic, timeout: after}, 16_000);
			assert.equal(lastAfter <= 8000, true, `${before} to ${after} ms, one in ${resubmittedInverse}: ${lastAfter} ms`);
		}
	}
});

// Guards against taking the lower ones of widely spread timeouts for resubmissions.
test('first submissions are rarely taken for resubmissions although their timeouts spread by more than the resubmission delay', () => {
	for (const spread of [1300, 1700, 2000, 2600, 5000]) {
		const {first} = submitTraffic(new CallerTimeouts(), {
			timeout: 30_000, spread, resubmittedInverse: Number.POSITIVE_INFINITY, interval: 10,
		}, 0, 4000);
		assert.equal(first <= 8, true, `${first} of 4000 with a spread of ${spread} ms`);
	}
});
