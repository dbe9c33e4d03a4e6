/** Runs on whose state their requester and their owner disagree. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import type {TaskId} from '../../../src/base/task-id.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 4000, timeoutMilliseconds: 9000};

// Guards against an owner that refuses a repeated request while the run continues, so that nobody stops it.
test('a run continues if its request is repeated right after another entry declared its owner lost', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1', 'd-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	const submitted = world.submit('c-1', id, job);
	await world.advance(300);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.network.blockedLinks.add('b-1#1>a-1#1');
	while (world.journal.named('poolMemberLost').length === 0) {
		await world.advance(5);
	}

	world.network.blockedLinks.clear();
	for (let round = 0; round < 40; round += 1) {
		world.network.reconnect('c-1', 'b-1');
		await world.advance(5);
	}

	world.addTarget('d-target', 'd');
	await world.advance(1300);
	assert.deepEqual([submitted.verdict, world.orders.starts.length, world.runningTasks()], [undefined, 1, [`${id}.0.0.0`]]);
});

// Guards against stops sent to a former owner because it repeated its adoption message after handing the run over.
test('a former owner that handed an adopted run over is not treated as its owner again', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'b-2', 'b-3', 'b-4', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	const submitted = world.submit('a-1', id, job);
	await world.advance(300);
	const owner = () => [...world.entries].find(([, {executor}]) => executor.ownedTargets === 1)![0];
	const first = owner();
	await Promise.all([world.entries.get(first)!.leave(), world.advance(400)]);
	const second = owner();
	await Promise.all([world.entries.get(second)!.leave(), world.advance(400)]);
	assert.equal(new Set([first, second, owner()]).size, 3);
	assert.deepEqual([world.runningTasks(), world.orders.starts.length], [[`${id}.0.0.0`], 1]);
	world.network.reconnect(second, 'a-1');
	await world.advance(100);
	submitted.cancel();
	world.addTarget('c-target', 'c');
	await world.advance(1300);
	world.submit('c-1', id, job);
	await world.advance(200);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a stop for a lost request that ends the owner's own run of the task.
test('a stop from another entry does not end the owner\'s own run', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 0);
	world.addTarget('b-target-0', 'b');
	world.addTarget('b-target-1', 'b');
	await world.start();
	world.submit('b-1', id, job);
	await world.advance(100);
	world.entries.get('a-1')!.pool.send('b-1#1' as MemberId, {
		kind: 'stop', task: `${id}.0.0.0` as TaskId, attempt: 1, cause: 'its job is over',
	});
	await world.advance(300);
	assert.equal(world.orders.starts.length, 1);
});
