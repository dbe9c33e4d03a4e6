/** Validity of requests between two entries, and detection of declared losses. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Epochs} from '../../../src/features/pool/epochs.js';

const [left, right] = ['left#1' as MemberId, 'right#1' as MemberId];

/** Two entries that exchange their epochs. */
class Pair {
	readonly left = new Epochs();
	readonly right = new Epochs();

	/** The epochs that the left entry would send now. */
	get fromLeft() {
		return {epoch: this.left.local(right), acknowledgedEpoch: this.left.remote(right)};
	}

	get fromRight() {
		return {epoch: this.right.local(left), acknowledgedEpoch: this.right.remote(left)};
	}

	/** Exchanges frames; returns whether the left and the right entry detect a loss. */
	exchange(): readonly [boolean, boolean] {
		return [this.left.observe(right, this.fromRight), this.right.observe(left, this.fromLeft)];
	}
}

function connectedPair(): Pair {
	const pair = new Pair();
	assert.deepEqual(pair.exchange(), [false, false]);
	return pair;
}

// Guards against requests that were in transit, or repeated, while their sender was declared lost.
test('a request from before the loss of its sender is outdated, and one sent after the sender learned of the loss is current', () => {
	const pair = connectedPair();
	const previous = pair.fromLeft;
	assert.equal(pair.right.isCurrent(left, previous), true);
	pair.right.recordLoss(left);
	assert.equal(pair.right.isCurrent(left, previous), false);
	pair.exchange();
	assert.equal(pair.right.isCurrent(left, pair.fromLeft), true);
	assert.equal(pair.right.isCurrent(left, previous), false);
});

// Guards against requests that were buffered in the sockets of a stalled entry.
test('a request from before its receiver stalled is outdated', () => {
	const pair = connectedPair();
	const previous = pair.fromLeft;
	pair.right.recordPause();
	assert.equal(pair.right.isCurrent(left, previous), false);
	assert.deepEqual(pair.exchange(), [false, false]);
	assert.equal(pair.right.isCurrent(left, pair.fromLeft), true);
});

// Guards against an entry that continues its jobs although its peers have stopped the runs it requested.
test('an entry that was declared lost without noticing detects it once', () => {
	const pair = connectedPair();
	pair.right.recordLoss(left);
	assert.equal(pair.exchange()[0], true);
	assert.equal(pair.exchange()[0], false);
});

// Guards against giving up jobs whose entry was connected all the time.
test('a loss that both sides noticed is not detected again', () => {
	const pair = connectedPair();
	const [delayed, alsoDelayed] = [pair.fromRight, pair.fromLeft];
	pair.left.recordLoss(right);
	pair.right.recordLoss(left);
	assert.deepEqual([pair.left.observe(right, delayed), pair.right.observe(left, alsoDelayed)], [false, false]);
	assert.deepEqual([...pair.exchange(), ...pair.exchange(), ...pair.exchange()], [false, false, false, false, false, false]);
});

// Guards against giving up jobs repeatedly when several peers declare the same silence a loss.
test('a loss from before the latest stall is not detected again', () => {
	const pair = connectedPair();
	pair.right.recordLoss(left);
	const late = pair.fromRight;
	pair.left.recordPause();
	assert.equal(pair.left.observe(right, late), false);
	assert.deepEqual([...pair.exchange(), ...pair.exchange()], [false, false, false, false]);
	pair.right.recordLoss(left);
	assert.equal(pair.left.observe(right, pair.fromRight), true);
});

// Guards against frames of a previous connection that are read after those of the current one.
test('a late frame does not lower an epoch', () => {
	const pair = connectedPair();
	const late = pair.fromRight;
	pair.right.recordLoss(left);
	pair.exchange();
	const remote = pair.left.remote(right);
	pair.left.observe(right, late);
	assert.deepEqual(pair.left.remote(right), remote);
});
