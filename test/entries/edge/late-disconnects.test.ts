/** Requesters that read the disconnects of their callers late. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const callerResubmissionMilliseconds = 1300;
/** Moments of the disconnect, spread over the interval between two heartbeats of the slow requester. */
const slowMilliseconds = [1000, 1050, 1100, 1150, 1200, 1250, 1300, 1350];
const requesterDelays = [120, 160, 193, 230, 260];

/** Starts a task on the target of the given entry for a requester that reads its input late from then on. */
async function startOnSlowRequester({owner, run, delay}: {readonly owner: 'a' | 'b'; readonly run: number; readonly delay: number}) {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('target', owner);
	await cluster.start();
	await cluster.advance(2000);
	const submission = world.submit('a-1', id, {payload: String(run), declaredMilliseconds: run, timeoutMilliseconds: 20_000});
	await cluster.advance(50);
	assert.deepEqual(cluster.runningTasks(), [`${id}.0.0.0`]);
	world.clocks.get('a-1')!.slowDown(delay);
	return {world, cluster, submission};
}

// Guards against an owner that renews a run beyond the caller's next submission, because it takes a message that the requester sent
// before it read the caller's disconnect for a sign that the caller still waits.
for (const owner of ['b', 'a'] as const) {
	test(`a run whose stops are lost ends before its caller resubmits, although its slow requester reads the disconnect late (target of ${owner}-1)`, async () => {
		for (const delay of requesterDelays) {
			for (const slow of slowMilliseconds) {
				const {world, cluster, submission} = await startOnSlowRequester({owner, run: 8000, delay});
				await cluster.advance(slow);
				world.loseStops('target', true);
				submission.disconnect();
				await cluster.advance(callerResubmissionMilliseconds);
				assert.deepEqual(cluster.runningTasks(), [], `${delay} ms late, slow for ${slow} ms`);
			}
		}
	});
}

// Guards against ending runs of live requesters because they read their input late.
for (const owner of ['b', 'a'] as const) {
	test(`a run goes on although its requester reads its input late (target of ${owner}-1)`, async () => {
		for (const delay of [...requesterDelays, 280, 300]) {
			const {cluster, submission} = await startOnSlowRequester({owner, run: 4000, delay});
			await cluster.advance(6000);
			assert.deepEqual([submission.submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1], `${delay} ms late`);
		}
	});
}

// Guards against refusing the starts of live requesters because they read their input late.
test('a requester that reads its input late starts its next job', async () => {
	for (const delay of [...requesterDelays, 280, 300]) {
		const {world, cluster} = await startOnSlowRequester({owner: 'b', run: 500, delay});
		await cluster.advance(3000);
		const next = world.submit('a-1', '00000000000000bb', {payload: '2000', declaredMilliseconds: 2000, timeoutMilliseconds: 20_000});
		await cluster.advance(5000);
		assert.deepEqual([next.submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 2], `${delay} ms late`);
	}
});

// Guards against an owner that renews a run as if the caller had disconnected when its resumed requester read it.
for (const owner of ['b', 'a'] as const) {
	test(`a run whose stops are lost ends before its caller resubmits, although its requester was suspended for a moment (target of ${owner}-1)`, async () => {
		for (const suspension of [250, 365, 490]) {
			for (const moment of slowMilliseconds) {
				const {world, cluster, submission} = await startOnSlowRequester({owner, run: 8000, delay: 0});
				await cluster.advance(moment);
				world.pause('a-1');
				world.loseStops('target', true);
				submission.disconnect();
				await cluster.advance(suspension);
				world.resume('a-1', {first: 'timers', countsPause: false, socketOrder: 0});
				await cluster.advance(callerResubmissionMilliseconds - suspension);
				assert.deepEqual(cluster.runningTasks(), [], `suspended for ${suspension} ms after ${moment} ms`);
			}
		}
	});
}

/** Suspends the owner of a run for a moment, after its stop was lost. */
async function suspendOwner({suspension, moment, isMasked}: {readonly suspension: number; readonly moment: number; readonly isMasked: boolean}): Promise<readonly string[]> {
	const {world, cluster, submission} = await startOnSlowRequester({owner: 'b', run: 8000, delay: 0});
	await cluster.advance(1000);
	world.loseStops('target', true);
	submission.disconnect();
	await cluster.advance(moment);
	world.pause('b-1');
	await cluster.advance(suspension);
	world.clocks.get('b-1')!.advanceWallTime(isMasked ? -suspension : 0);
	world.resume('b-1', {first: 'timers', countsPause: false, socketOrder: 0});
	await cluster.advance(callerResubmissionMilliseconds - moment - suspension);
	return cluster.runningTasks();
}

// Guards against an owner that counts the time since a run was abandoned without its own suspension.
test('a run whose stops are lost ends before its caller resubmits, although its owner was suspended for a moment', async () => {
	for (const suspension of [150, 250, 365, 490]) {
		for (const moment of [50, 300, 550]) {
			assert.deepEqual(await suspendOwner({suspension, moment, isMasked: false}), [], `suspended for ${suspension} ms after ${moment} ms`);
		}
	}
});

// Guards against a suspension of the owner that neither of its clocks shows, because its wall clock was set back meanwhile.
test('a run whose stops are lost ends before its caller resubmits, although its owner was suspended unnoticed', async () => {
	for (const suspension of [250, 365, 490]) {
		assert.deepEqual(await suspendOwner({suspension, moment: 300, isMasked: true}), [], `suspended for ${suspension} ms`);
	}
});
