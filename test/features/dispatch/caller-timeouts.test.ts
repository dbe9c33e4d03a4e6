/** What is learned of callers' patience, and how old a submission is taken for. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {Random} from '../../../src/base/random.js';
import {CallerTimeouts} from '../../../src/features/dispatch/caller-timeouts.js';

const queue = 'queue' as ProfileName;

/** Callers of one queue state 1760 to 2800 ms, as on the users' busiest one. */
function freshOf(random: Random): number {
	return 1760 + (1040 * (random.fraction() ** 3));
}

function learned(samples: number) {
	const book = new CallerTimeouts();
	const random = new Random(1);
	let now = 0;
	for (let sample = 0; sample < samples; sample += 1) {
		now += 50;
		book.estimateAge(queue, freshOf(random), now);
	}

	return {book, random, now};
}

test('nothing is old while little is known, and then hardly a fresh one is', () => {
	assert.equal(learned(10).book.estimateAge(queue, 300, 0), 0);
	const {book, random} = learned(200);
	const ages = Array.from({length: 1000}, (_, index) => book.estimateAge(queue, freshOf(random), 10_000 + (index * 50)));
	assert.deepEqual({
		hardlyAnyOld: ages.filter(age => age > 30).length < 20,
		oldest: Math.max(...ages) < 60,
	}, {hardlyAnyOld: true, oldest: true});
});

// All entries lose power for a second, and their callers submit again 1300 ms after the loss. For two seconds half of what comes
// is older than any use; an entry that learned its callers' patience from these would take them for fresh.
test('after a loss half of the submissions are known as old, by no more than they are', () => {
	const {book, random, now} = learned(400);
	const ages: number[] = [];
	for (let sample = 0; sample < 40; sample += 1) {
		book.estimateAge(queue, freshOf(random), now + (sample * 50));
		ages.push(book.estimateAge(queue, freshOf(random) - 1300, now + (sample * 50) + 25));
	}

	assert.deepEqual([Math.min(...ages) > 200, Math.max(...ages) <= 1300], [true, true], `${Math.min(...ages)} to ${Math.max(...ages)}`);
});

// Callers are changed to wait no longer than a third of what they did. Taken for old, all their jobs would be refused.
test('callers that state less from now on are believed after some seconds', () => {
	const {book, now} = learned(400);
	const ageAfter = (milliseconds: number) => book.estimateAge(queue, 600, now + milliseconds);
	const first = ageAfter(50);
	for (let at = 100; at < 12_000; at += 50) {
		ageAfter(at);
	}

	assert.deepEqual([first > 1000, ageAfter(12_000)], [true, 0]);
});

test('what an earlier life has learned counts until something is learned here', () => {
	const book = new CallerTimeouts();
	book.seed(queue, 1800);
	assert.equal(book.estimateAge(queue, 500, 0), 1300);
	const {book: own} = learned(200);
	own.seed(queue, 9000);
	assert.equal(own.typical.get(queue)! < 2000, true);
});
