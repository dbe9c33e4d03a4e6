/** Jobs of an entry that is paused until their callers have resubmitted them elsewhere. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 2000};

for (const kind of ['suspended', 'frozen'] as const) {
	// Guards against a resumed entry that starts a waiting task before it has handled its caller's disconnect.
	test(`a resumed entry that was ${kind} starts no waiting task whose caller resubmitted elsewhere`, async () => {
		const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
		world.addTarget('b-target', 'b');
		await world.start();
		world.submit('c-1', '00000000000000bb', {
			tasks: 2, payload: '300', declaredMilliseconds: 300, timeoutMilliseconds: 2000,
		});
		await world.advance(50);
		const first = world.submit('a-1', id, job);
		await world.advance(100);
		assert.equal(world.orders.starts.length, 2);
		world.pause('a-1', kind);
		world.addTarget('c-target', 'c');
		await world.advance(3300);
		world.submit('c-1', id, job);
		await world.advance(200);
		assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
		world.resume('a-1');
		await world.advance(5);
		first.cancel();
		await world.advance(200);
		assert.equal(world.orders.peakConcurrentRuns, 1);
	});

	// Guards against a resumed entry that answers the report of a stopped run with another attempt, beside the caller's new run.
	test(`a resumed entry that was ${kind} starts no further attempt of a task that was stopped because the entry was lost`, async () => {
		const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
		world.addTarget('b-target-0', 'b');
		world.addTarget('b-target-1', 'b');
		await world.start();
		const first = world.submit('a-1', id, job);
		await world.advance(100);
		assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
		world.pause('a-1', kind);
		world.addTarget('c-target', 'c');
		await world.advance(3300);
		assert.deepEqual(world.runningTasks(), []);
		world.submit('c-1', id, job);
		await world.advance(200);
		assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
		world.resume('a-1');
		await world.advance(5);
		first.cancel();
		await world.advance(200);
		assert.equal(world.orders.peakConcurrentRuns, 1);
	});
}

// Guards against mistaking a change of the wall clock for a suspension and giving up jobs.
test('setting the wall clock forward ends no job and restarts no task', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	const submitted = world.submit('a-1', id, {tasks: 4, payload: '600', declaredMilliseconds: 600});
	await world.advance(200);
	world.clock.advanceWallTime(5000);
	await world.advance(600);
	assert.deepEqual([submitted.verdict, world.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 4]);
});

for (const kind of ['suspended', 'frozen'] as const) {
	// Guards against giving up jobs after short pauses, which are common on busy instances.
	test(`an entry that was ${kind} too briefly to be declared lost continues its jobs`, async () => {
		const world = new PooledCluster(['a-1', 'b-1'], 2);
		await world.start();
		const submitted = world.submit('a-1', id, {tasks: 4, payload: '900', declaredMilliseconds: 900});
		await world.advance(200);
		world.pause('a-1', kind);
		await world.advance(300);
		world.resume('a-1');
		await world.advance(600);
		assert.deepEqual([submitted.verdict, world.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 4]);
	});
}
