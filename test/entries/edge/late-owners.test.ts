/** Owners that read the messages of their requesters late without having been paused. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRemoteRun} from '../../support/create-remote-run.js';
import type {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '6000', declaredMilliseconds: 3000, timeoutMilliseconds: 9000};
const resubmissionDelayMilliseconds = 1300;

/** Increases the delay of an owner's messages step by step, so that the gap between two of them isn't taken for a loss. */
async function delayMessages(world: PooledCluster, owner: string, milliseconds: number): Promise<void> {
	for (let delay = 0; delay <= milliseconds; delay += 100) {
		for (const peer of world.entries.keys()) {
			world.network.linkDelays.set(`${peer}#1>${owner}#1`, delay);
		}

		await world.advance(200);
	}
}

// Guards against an owner whose backlog makes a dead requester look alive until after its caller has resubmitted the job.
test('a run ends before its caller resubmits although its owner reads old heartbeats of the dead requester', async () => {
	const {world} = await createRemoteRun(id, job);
	await delayMessages(world, 'b-1', 700);
	world.network.isolate('a-1', true);
	world.network.blockedLinks.delete('a-1#1>b-1#1');
	world.entries.get('a-1')!.dispose();
	await world.advance(resubmissionDelayMilliseconds);
	world.submit('c-1', id, job);
	await world.advance(2000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a stop that waits in its owner's backlog while the owner goes on renewing the lease.
test('a run ends before its caller resubmits although its owner reads the stop late', async () => {
	const {world, first} = await createRemoteRun(id, job);
	await delayMessages(world, 'b-1', 1500);
	first.cancel();
	await world.advance(resubmissionDelayMilliseconds);
	world.submit('c-1', id, job);
	await world.advance(2000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against ending runs for a delay that is ordinary on a busy entry.
test('runs go on while their requester\'s messages are 400 ms late', async () => {
	const {world, first} = await createRemoteRun(id, job);
	await delayMessages(world, 'b-1', 400);
	await world.advance(6000);
	assert.deepEqual([first.verdict, world.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1]);
});
