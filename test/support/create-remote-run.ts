/** A run on another entry's target. */
import assert from 'node:assert/strict';
import {PooledCluster} from './pooled-cluster.js';

/** A job of `a-1` runs on a target of `b-1`, and `c-1` has a target for a later submission. */
export async function createRemoteRun(id: string, job: Parameters<PooledCluster['submit']>[2]) {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	const first = world.submit('a-1', id, job);
	await world.advance(500);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.addTarget('c-target', 'c');
	return {world, first};
}
