/** Runs that a new owner adopts while their requester is unreachable. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 4000, timeoutMilliseconds: 9000};

// Guards against a requester that misses the adoption message and starts the task elsewhere while the new owner renews the run.
test('a run whose requester misses the adoption has ended before the requester starts the task again', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'b-2', 'c-1'], 0);
	for (const index of [0, 1, 2, 3]) {
		world.addTarget(`b-target-${index}`, 'b');
	}

	await world.start();
	world.submit('a-1', id, job);
	await world.advance(300);
	world.addTarget('c-target', 'c');
	const [sent] = world.journal.named('taskSent');
	const [owner, successor] = sent!.owner === 'b-1#1' ? ['b-1', 'b-2'] as const : ['b-2', 'b-1'] as const;
	world.network.blockedLinks.add(`${successor}#1>a-1#1`);
	await Promise.all([world.entries.get(owner)!.leave(), world.advance(2000)]);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a new owner that measures a dead requester's silence from the handover, and so keeps its run past the resubmission.
test('runs that are handed over after their requester crashed have ended before its callers resubmit', async () => {
	const names = Array.from({length: 24}, (_, index) => `z${index % 3}-${Math.floor(index / 3)}`);
	const world = new PooledCluster(names, 8);
	await world.startWithPeerList();
	await world.advance(2000);
	world.submit('z0-0', id, {...job, tasks: 20});
	await world.advance(300);
	const owners = new Set(world.journal.named('taskSent').map(({owner}) => String(owner).split('#')[0]!));
	world.network.isolate('z0-0', true);
	world.entries.get('z0-0')!.dispose();
	await world.advance(600);
	await Promise.all([...[...owners].slice(0, 2).map(async owner => world.entries.get(owner)!.leave()), world.advance(700)]);
	assert.deepEqual(world.runningTasks(), []);
});

/** A job of 20 runs on targets of several owners of a large fleet, which read the requester's messages late. */
async function createWorldWithLateOwners(lateMilliseconds: number) {
	const names = Array.from({length: 24}, (_, index) => `z${index % 3}-${Math.floor(index / 3)}`);
	const world = new PooledCluster(names, 8);
	await world.startWithPeerList();
	await world.advance(2000);
	world.submit('z0-0', id, {...job, tasks: 20});
	await world.advance(300);
	const owners = [...new Set(world.journal.named('taskSent').map(({owner}) => String(owner).split('#')[0]!))];
	for (let delay = 100; delay <= lateMilliseconds; delay += 100) {
		for (const owner of owners) {
			world.network.linkDelays.set(`z0-0#1>${owner}#1`, delay);
		}

		await world.advance(200);
	}

	assert.equal(world.runningTasks().length, 20);
	return {world, owners};
}

// Guards against a former owner that describes a dead requester by when it read old messages, so that the new owner keeps its runs.
test('runs that a late owner hands over after their requester crashed have ended before its callers resubmit', async () => {
	const {world, owners} = await createWorldWithLateOwners(700);
	world.network.isolate('z0-0', true);
	for (const owner of owners) {
		world.network.blockedLinks.delete(`z0-0#1>${owner}#1`);
	}

	world.entries.get('z0-0')!.dispose();
	await world.advance(700);
	await Promise.all([...owners.slice(0, 2).map(async owner => world.entries.get(owner)!.leave()), world.advance(600)]);
	assert.deepEqual(world.runningTasks(), []);
});

// Guards against stopping runs whose requester is alive, since their former owner was slow.
test('runs that are handed over by an owner whose messages are 400 ms late go on', async () => {
	const {world, owners} = await createWorldWithLateOwners(400);
	await Promise.all([...owners.slice(0, 2).map(async owner => world.entries.get(owner)!.leave()), world.advance(1300)]);
	assert.deepEqual([world.runningTasks().length, world.orders.starts.length], [20, 20]);
});

// Guards against a requester that takes the late adoption by a former owner for the latest one, and no longer knows who runs the task.
test('a run that returns to its former owner goes on if its requester reads the messages of the owner in between last', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'b-2', 'b-3'], 0);
	for (let index = 0; index < 12; index += 1) {
		world.addTarget(`b-target-${index}`, 'b');
	}

	await world.start();
	const submitted = world.submit('a-1', id, {...job, tasks: 24});
	await world.advance(200);
	world.network.linkDelays.set('b-1#1>a-1#1', 500);
	world.pause('b-3', 'suspended');
	world.group.expire('targets.b' as OwnershipGroupName, 'b/b-3');
	await world.advance(200);
	world.resume('b-3');
	await world.advance(100);
	const owned = world.journal.named('targetOwned').filter(({adopted}) => Number(adopted) > 0).map(({target}) => target as InstanceId);
	const returned = owned.filter((target, index) => owned.indexOf(target) !== index);
	const tasks = new Set(returned.flatMap(target => world.orders.running(target)));
	assert.equal(tasks.size, 8);
	await world.advance(2500);
	assert.deepEqual(world.orders.starts.filter(({task, attempt}) => tasks.has(task) && attempt > 1), []);
	submitted.cancel();
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), []);
});
