/** Entries that are suspended twice in a row. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 9000};

// Guards against a second suspension that is taken for the first one, whose readings of the targets' clocks are still compared.
test('an entry that is suspended again soon after starts no waiting task whose caller resubmitted elsewhere', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('a-target', 'a');
	await world.start();
	world.pause('a-1', 'suspended');
	await world.advance(2000);
	world.resume('a-1');
	await world.advance(500);
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
	world.resume('a-1');
	await world.advance(1000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});
