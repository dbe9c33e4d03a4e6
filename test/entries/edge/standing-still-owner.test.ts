/** An owner of targets that stands still while the entries that asked for runs there are lost, or lose it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 4000};

// A request waits in a frozen owner's socket. Its entry takes the owner as lost, and the caller submits elsewhere before it's read.
test('an owner that was frozen starts nothing that was asked for before it was taken as lost', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	world.pause('b-1', 'frozen');
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	// The stop comes on another connection, behind its handshake.
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

// A suspended owner doesn't count that time towards a dead entry's silence: it stops the run only when it runs elsewhere again.
test('an owner that was suspended for less than a lease has stopped a dead entry\'s run when its caller submits again', async () => {
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

// As above, but the request comes on the former connection some time after the owner goes on, by whose clock nobody was lost.
test('an owner that was suspended starts nothing that comes late from an entry that took it as lost', async () => {
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
