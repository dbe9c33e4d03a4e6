/** Owners that are paused while requesters are lost, or declare them lost. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 4000};

// Guards against a request that a frozen owner reads after its requester has declared the owner lost and the caller has resubmitted.
test('a resumed owner that was frozen starts no request from before it was declared lost', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	world.pause('b-1', 'frozen');
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	// The stop arrives later, since it is sent on a new connection.
	world.network.linkDelays.set('a-1#1>b-1#1', 1700);
	await world.advance(1000);
	assert.equal(first.verdict?.kind, 'mayHaveRun');
	world.addTarget('c-target', 'c');
	await world.advance(1300);
	world.submit('c-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.resume('b-1', 'timers');
	await world.advance(500);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a resumed owner that ignores the suspension when it measures a dead requester's silence, and stops the run too late.
test('an owner that was suspended for less than a lease stops a crashed entry\'s run before the caller resubmits', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	world.submit('a-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.addTarget('c-target', 'c');
	world.network.isolate('a-1', true);
	world.entries.get('a-1')!.dispose();
	world.pause('b-1', 'suspended');
	await world.advance(700);
	world.resume('b-1');
	await world.advance(600);
	world.submit('c-1', id, job);
	await world.advance(1000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a request that is delayed beyond the owner's suspension, by whose clock no entry was lost.
test('a resumed owner that was suspended starts no delayed request from an entry that declared it lost', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	world.pause('b-1', 'suspended');
	world.network.linkDelays.set('a-1#1>b-1#1', 3200);
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	world.network.linkDelays.delete('a-1#1>b-1#1');
	await world.advance(1000);
	assert.equal(first.verdict?.kind, 'mayHaveRun');
	world.addTarget('c-target', 'c');
	await world.advance(1300);
	world.resume('b-1');
	world.submit('c-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	await world.advance(1000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});
