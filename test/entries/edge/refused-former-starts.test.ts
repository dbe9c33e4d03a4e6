/** Starts that are requested for a former submission after a later one was taken over. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;
const job = {payload: '6000', declaredMilliseconds: 5000, timeoutMilliseconds};

/** Starts a cluster with one target, on which two other jobs leave no room. */
async function createFullCluster(names: readonly string[]) {
	const world = new PausableCluster(names, 0);
	const {cluster} = world;
	cluster.addTarget('target', 'b');
	await cluster.start();
	await cluster.advance(2000);
	for (const {callerTimeouts} of cluster.entries.values()) {
		callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	}

	const others = ['00000000000000b1', '00000000000000b2'].map(other => world.submit('b-1', other, job));
	await cluster.advance(50);
	const makeRoom = () => {
		for (const other of others) {
			other.disconnect();
		}
	};

	return {world, cluster, makeRoom};
}

// Guards against an owner that starts a former submission for a requester that hasn't read yet that it was taken over.
test('a waiting former submission is not started beside a later one, although its requester has just become slow', async () => {
	for (const delay of [110, 170, 250, 350]) {
		for (const slow of [20, 60, 120]) {
			for (const room of [-120, -60, -10, 10, 60, 120]) {
				const {world, cluster, makeRoom} = await createFullCluster(['a-1', 'b-1', 'c-1']);
				world.submit('a-1', id, job);
				await cluster.advance(1300 - slow);
				world.clocks.get('a-1')!.slowDown(delay);
				cluster.clock.schedule(slow + room, makeRoom);
				await cluster.advance(slow);
				cluster.addTarget('c-target', 'c');
				world.submit('c-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
				await cluster.advance(3000);
				assert.equal(cluster.orders.peakConcurrentRuns, 1, `${delay} ms late, slow for ${slow} ms, room after ${room} ms`);
			}
		}
	}
});

// Guards against a later submission that is refused for ever because its entry doesn't recognise it, and against a start without takeover.
test('an entry that does not recognise a resubmission takes it over once an owner refuses its start', async () => {
	const {world, cluster, makeRoom} = await createFullCluster(['a-1', 'b-1', 'c-1']);
	const second = world.submit('a-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
	await cluster.advance(1300);
	second.disconnect();
	const third = world.submit('c-1', id, {
		...job, queue: 'unknown', payload: '500', timeoutMilliseconds: timeoutMilliseconds - 2600,
	});
	await cluster.advance(100);
	makeRoom();
	await cluster.advance(3000);
	const taken = cluster.journal.named('jobReleased').map(({job: released}) => released);
	assert.deepEqual([third.submitted?.verdict, cluster.orders.peakConcurrentRuns, taken], [{kind: 'answered', answer: 'complete'}, 1, [id, id]]);
});
