/** Owners that are slow in everything: their timers, and whatever they read from peers and targets. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const job = {payload: '2000', declaredMilliseconds: 2000, timeoutMilliseconds: 9000};

/** Submits a job whose only target is owned by an entry that is slow from a second before; returns the verdict and the starts. */
async function runOnSlowOwner(delayMilliseconds: number) {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('b-target', 'b');
	await cluster.start();
	await cluster.advance(2000);
	world.clocks.get('b-1')!.slowDown(delayMilliseconds);
	await cluster.advance(1000);
	const submission = world.submit('a-1', id, job);
	await cluster.advance(9000);
	return [submission.submitted?.verdict, cluster.orders.starts.length];
}

// Guards against ending runs of live requesters because their owner is slow.
test('a run of a live requester goes on at an owner that is 150 ms late', async () => {
	assert.deepEqual(await runOnSlowOwner(150), [{kind: 'answered', answer: 'complete'}, 1]);
});

// Guards against a limited lease that a slow owner renews too late, since it reads both the requester and the target late.
test('a run of a live requester goes on at an owner that is 250 ms late', async () => {
	assert.deepEqual(await runOnSlowOwner(250), [{kind: 'answered', answer: 'complete'}, 1]);
});
