/** Resubmissions while the owner of a target dies that runs the former submission. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;

/** Resubmits a job of a requester that is too late to answer, and kills the owner of its run after the given time; returns the highest number of concurrent runs. */
async function resubmitAndKillOwner(delayMilliseconds: number, killedAfter: number): Promise<number> {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('target', 'b');
	await cluster.start();
	await cluster.advance(2000);
	cluster.entries.get('c-1')!.callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	const job = {payload: '8000', declaredMilliseconds: 2000, timeoutMilliseconds};
	world.submit('a-1', id, job);
	await cluster.advance(50);
	cluster.addTarget('c-target', 'c');
	world.clocks.get('a-1')!.slowDown(delayMilliseconds);
	world.loseStops('target', true);
	await cluster.advance(1300);
	world.submit('c-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
	await cluster.advance(killedAfter);
	world.kill('b-1');
	await cluster.advance(3000);
	assert.equal(cluster.orders.starts.length, 2, 'the resubmitted job is never started');
	return cluster.orders.peakConcurrentRuns;
}

// Guards against a resubmission that starts as soon as the owner of the former run is lost, although its target goes on with the run.
test('a resubmission is not run beside the former one if the owner dies after it has told of the run', async () => {
	const failed: string[] = [];
	for (const delay of [150, 230]) {
		for (const killedAfter of [5, 10, 40, 150]) {
			if (await resubmitAndKillOwner(delay, killedAfter) > 1) {
				failed.push(`requester ${delay} ms late, owner killed after ${killedAfter} ms`);
			}
		}
	}

	assert.deepEqual(failed, []);
});
