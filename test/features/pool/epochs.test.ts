/** Which requests count between two entries, and which losses are noticed. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Epochs} from '../../../src/features/pool/epochs.js';

const [left, right] = ['left#1' as MemberId, 'right#1' as MemberId];

/** Two entries that state their epochs to each other. */
class Pair {
	readonly left = new Epochs();
	readonly right = new Epochs();

	/** What the left one would send to the right one now. */
	get fromLeft() {
		return {epoch: this.left.local(right), acknowledgedEpoch: this.left.remote(right)};
	}

	get fromRight() {
		return {epoch: this.right.local(left), acknowledgedEpoch: this.right.remote(left)};
	}

	/** Whether a loss is noticed, left and right. */
	talk(): readonly [boolean, boolean] {
		return [this.left.observe(right, this.fromRight), this.right.observe(left, this.fromLeft)];
	}
}

function acquainted(): Pair {
	const pair = new Pair();
	assert.deepEqual(pair.talk(), [false, false]);
	return pair;
}

// Guards against a request that was under way, or repeated, while its sender was taken as lost.
test('a request from before its sender was lost is outdated, and one that follows the word of the loss is not', () => {
	const pair = acquainted();
	const former = pair.fromLeft;
	assert.equal(pair.right.isCurrent(left, former), true);
	pair.right.recordLoss(left);
	assert.equal(pair.right.isCurrent(left, former), false);
	pair.talk();
	assert.equal(pair.right.isCurrent(left, pair.fromLeft), true);
	assert.equal(pair.right.isCurrent(left, former), false);
});

// Guards against requests that waited in the sockets of an entry that stood still.
test('a request from before its receiver stood still is outdated', () => {
	const pair = acquainted();
	const former = pair.fromLeft;
	pair.right.recordPause();
	assert.equal(pair.right.isCurrent(left, former), false);
	assert.deepEqual(pair.talk(), [false, false]);
	assert.equal(pair.right.isCurrent(left, pair.fromLeft), true);
});

// Guards against an entry that goes on with its jobs though others have stopped what it had asked for.
test('an entry that was lost without noticing learns of it once', () => {
	const pair = acquainted();
	pair.right.recordLoss(left);
	assert.equal(pair.talk()[0], true);
	assert.equal(pair.talk()[0], false);
});

// Guards against jobs that are given up though their entry was there all the time.
test('a loss that was noticed on both sides says nothing new', () => {
	const pair = acquainted();
	const [heldUp, alsoHeldUp] = [pair.fromRight, pair.fromLeft];
	pair.left.recordLoss(right);
	pair.right.recordLoss(left);
	assert.deepEqual([pair.left.observe(right, heldUp), pair.right.observe(left, alsoHeldUp)], [false, false]);
	assert.deepEqual([...pair.talk(), ...pair.talk(), ...pair.talk()], [false, false, false, false, false, false]);
});

// Guards against jobs that are given up again and again while one member after the other tells of the same silence.
test('a loss from before the latest pause was dealt with then', () => {
	const pair = acquainted();
	pair.right.recordLoss(left);
	const late = pair.fromRight;
	pair.left.recordPause();
	assert.equal(pair.left.observe(right, late), false);
	assert.deepEqual([...pair.talk(), ...pair.talk()], [false, false, false, false]);
	pair.right.recordLoss(left);
	assert.equal(pair.left.observe(right, pair.fromRight), true);
});

// Guards against frames of a former connection that are read after those of the present one.
test('a late frame takes no epoch back', () => {
	const pair = acquainted();
	const late = pair.fromRight;
	pair.right.recordLoss(left);
	pair.talk();
	const stated = pair.left.remote(right);
	pair.left.observe(right, late);
	assert.deepEqual(pair.left.remote(right), stated);
});
