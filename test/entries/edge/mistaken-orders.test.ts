/** Runs whose entry believes something else of them than their owner does. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import type {TaskId} from '../../../src/base/task-id.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 4000, timeoutMilliseconds: 9000};

// Guards against an owner that refuses a repeated request while its run goes on, so that nobody stops it.
test('a run whose request is repeated just after its owner was missed elsewhere goes on', async () => {
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

// Guards against stops that go to a former owner, which told again of a run that it has handed over since.
test('an owner that handed an adopted run over is not taken for its owner again', async () => {
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

// Guards against a stop whose request was lost, and whose owner runs the task for itself.
test('a stop of another entry ends no run that an owner began for itself', async () => {
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
