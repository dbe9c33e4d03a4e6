/** Requesters whose wall clock is set forward while they are slow. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const callerResubmissionMilliseconds = 1300;
/** Moments of the setting, spread over the interval between two heartbeats of the slow requester. */
const slowMilliseconds = [1000, 1050, 1100, 1150, 1200, 1250, 1300, 1350];

/**
 * Sets the wall clock of a requester without targets, whose task runs on another entry's target and which has been slow for a while.
 * Nothing shows it that it wasn't suspended.
 */
async function startOnMisdatedRequester({run, slow, skipped}: {readonly run: number; readonly slow: number; readonly skipped: number}) {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('b-target', 'b');
	await cluster.start();
	await cluster.advance(2000);
	const submission = world.submit('a-1', id, {payload: String(run), declaredMilliseconds: run, timeoutMilliseconds: 20_000});
	await cluster.advance(50);
	assert.deepEqual(cluster.runningTasks(), [`${id}.0.0.0`]);
	world.clocks.get('a-1')!.slowDown(250);
	await cluster.advance(slow);
	world.clocks.get('a-1')!.advanceWallTime(skipped);
	return {world, cluster, submission};
}

// Guards against an owner that takes the lateness of the first message after the jump of its sent time for a difference of the clocks,
// and renews the run beyond the caller's next submission.
test('a run whose stops are lost ends before the caller resubmits, although its slow requester\'s wall clock was set', async () => {
	for (const slow of slowMilliseconds) {
		const {world, cluster, submission} = await startOnMisdatedRequester({run: 8000, slow, skipped: 4912});
		world.loseStops('b-target', true);
		while (submission.submitted?.verdict === undefined) {
			await cluster.advance(5);
		}

		assert.equal(submission.submitted.verdict.kind, 'mayHaveRun');
		await cluster.advance(callerResubmissionMilliseconds);
		assert.deepEqual(cluster.runningTasks(), [], `slow for ${slow} ms`);
	}
});

// Guards against ending runs of live requesters because their sent times have jumped.
test('a run goes on although its slow requester\'s wall clock was set by less than a confirmed pause', async () => {
	for (const slow of slowMilliseconds) {
		const {cluster, submission} = await startOnMisdatedRequester({run: 5000, slow, skipped: 1100});
		await cluster.advance(5000);
		assert.deepEqual([submission.submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1], `slow for ${slow} ms`);
	}
});

// Guards against refusing a requester's starts because its sent times have jumped.
test('a slow requester whose wall clock was set starts its next job', async () => {
	for (const slow of slowMilliseconds) {
		const {world, cluster} = await startOnMisdatedRequester({run: 500, slow, skipped: 4912});
		await cluster.advance(1500);
		const next = world.submit('a-1', '00000000000000bb', {payload: '2000', declaredMilliseconds: 2000, timeoutMilliseconds: 20_000});
		await cluster.advance(4500);
		assert.deepEqual([next.submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 2], `slow for ${slow} ms`);
	}
});
