/** Entries that may have been suspended and whose targets don't tell them at once. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 9000};

// Guards against a resumed entry that places what waited before any target's clock has shown its suspension; its caller's hang-up never arrives.
test('a resumed entry whose targets answer late starts no waiting task whose caller resubmitted elsewhere', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('a-target', 'a');
	await world.start();
	world.submit('a-1', '00000000000000bb', {
		tasks: 2, payload: '20000', declaredMilliseconds: 20_000, timeoutMilliseconds: 30_000,
	});
	await world.advance(100);
	world.submit('a-1', id, job);
	await world.advance(100);
	assert.equal(world.orders.starts.length, 2);
	world.pause('a-1', 'suspended');
	world.addTarget('b-target', 'b');
	world.addTarget('c-target', 'c');
	await world.advance(4400);
	world.submit('c-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.orders.behaviour.set('a-target' as InstanceId, 'silent');
	world.resume('a-1');
	await world.advance(400);
	world.orders.behaviour.delete('a-target' as InstanceId);
	await world.advance(1000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a resumed entry that repeats its requests on a new connection before any target's clock has shown its suspension.
test('a resumed entry whose targets answer late repeats no request whose caller resubmitted elsewhere', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('a-target', 'a');
	world.addTarget('b-target', 'b');
	await world.start();
	world.submit('a-1', '00000000000000bb', {
		tasks: 2, payload: '20000', declaredMilliseconds: 20_000, timeoutMilliseconds: 30_000,
	});
	await world.advance(100);
	world.network.blockedLinks.add('a-1#1>b-1#1');
	world.submit('a-1', id, job);
	await world.advance(100);
	assert.equal(world.orders.starts.length, 2);
	world.pause('a-1', 'suspended');
	world.addTarget('c-target', 'c');
	await world.advance(4400);
	world.network.blockedLinks.delete('a-1#1>b-1#1');
	world.submit('c-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.orders.behaviour.set('a-target' as InstanceId, 'silent');
	world.resume('a-1');
	await world.advance(150);
	world.network.reconnect('a-1', 'b-1');
	await world.advance(250);
	world.orders.behaviour.delete('a-target' as InstanceId);
	await world.advance(1000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against an entry that waits for its targets for good, or goes on as if nothing had been, when none of them answers.
test('an entry whose targets do not answer after a possible suspension gives up its jobs', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 0);
	world.addTarget('a-target', 'a');
	world.addTarget('b-target', 'b');
	await world.start();
	const submitted = world.submit('a-1', id, job);
	await world.advance(300);
	world.orders.behaviour.set('a-target' as InstanceId, 'silent');
	world.clock.advanceWallTime(5000);
	await world.advance(1200);
	assert.equal(submitted.verdict?.kind, 'mayHaveRun');
});
