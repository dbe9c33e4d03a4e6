/** Changes of target ownership between entries. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import {Resources} from '../../../src/base/resources.js';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';

/** A request from another entry, too large for two of them to fit on one target. */
const firstTaskOfJob = {...createRunRequest('00000000000000aa.0.0.0', '3000'), need: new Resources(40_000, 64, 0)};

// Guards against an upgrade that interrupts jobs: the next owner must continue their runs.
test('a graceful leave stops and restarts no task', async () => {
	const world = new PooledCluster(['a-1', 'a-2', 'b-1'], 3);
	await world.start();
	const jobs = ['a-1', 'a-2', 'b-1'].map((entry, index) => world.submit(entry, `00000000000000a${index}`, {
		tasks: 4, payload: '1200', declaredMilliseconds: 1200, timeoutMilliseconds: 5000,
	}));
	await world.advance(300);
	const startsBefore = world.orders.starts.length;
	await Promise.all([world.entries.get('a-1')!.leave(), world.advance(600)]);
	await world.advance(1000);
	assert.deepEqual(jobs.map(job => job.verdict), jobs.map(() => ({kind: 'answered', answer: 'complete'})));
	assert.equal(world.orders.starts.length, startsBefore);
});

// Guards against targets that stay idle after the only entry of their zone has crashed.
test('the targets of a zone without an entry are taken over from another zone', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	await world.advance(1000);
	world.kill('a-1');
	world.group.expire('targets.a' as OwnershipGroupName, 'a/a-1');
	await world.advance(1500);
	assert.equal(world.entries.get('b-1')!.executor.ownedTargets, 4);
});

// Guards against entries that give their targets up during a store outage.
test('entries go on with what they own while the store is away', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	world.group.isUnavailable = true;
	await world.advance(10_000);
	const job = world.submit('a-1', '00000000000000aa', {tasks: 8, payload: '200'});
	await world.advance(260);
	assert.deepEqual(job.verdict, {kind: 'answered', answer: 'complete'});
});

// Guards against covering a zone that is partitioned from the others but not from the store, where its owners still reach its targets.
test('a zone that is only cut off keeps all of its targets', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	await world.advance(1000);
	world.network.isolate('a-1', true);
	await world.advance(4000);
	assert.deepEqual(['a-1', 'b-1'].map(name => world.entries.get(name)!.executor.ownedTargets), [2, 2]);
});

// Guards against covering a zone that is partitioned from the others and from the store, so that its group memberships expire: the
// new owners would end all of its runs when the partition heals.
test('a zone whose targets can\'t be reached is not covered, though its group is empty', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	await world.advance(1000);
	world.network.isolate('a-1', true);
	world.orders.behaviour.set('a-target-0' as InstanceId, 'refuses');
	world.orders.behaviour.set('a-target-1' as InstanceId, 'refuses');
	world.entries.get('a-1')!.ownership.dispose();
	world.group.expire('targets.a' as OwnershipGroupName, 'a/a-1');
	await world.advance(3000);
	assert.equal(world.entries.get('b-1')!.executor.ownedTargets, 2);
});

// Guards against a delayed handover message that arrives after the adoption and makes the requester start the task a second time.
test('the former owner\'s word that comes after the next owner\'s starts no task again', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'b-2'], 2);
	await world.start();
	const job = world.submit('a-1', '00000000000000ab', {
		tasks: 8, payload: '2500', declaredMilliseconds: 2500, timeoutMilliseconds: 9000,
	});
	await world.advance(300);
	const startsBefore = world.orders.starts.length;
	world.network.linkDelays.set('b-1#1>a-1#1', 200);
	await Promise.all([world.entries.get('b-1')!.leave(), world.advance(600)]);
	await world.advance(4000);
	assert.deepEqual({verdict: job.verdict, starts: world.orders.starts.length, mostAtOnce: world.orders.peakConcurrentRuns}, {
		verdict: {kind: 'answered', answer: 'complete'}, starts: startsBefore, mostAtOnce: 1,
	});
});

// Guards against a new owner that stops an adopted run because it has no connection to the requester yet.
test('a run goes on under a next owner that had no connection to the run\'s entry', async () => {
	const names = Array.from({length: 24}, (_, index) => `z${index % 3}-${Math.floor(index / 3)}`);
	const world = new PooledCluster(names, 8);
	await world.startWithPeerList();
	await world.advance(2000);
	const jobs = names.map((name, index) => world.submit(name, `00000000000000${index.toString(16).padStart(2, '0')}`, {
		tasks: 2, payload: '3000', declaredMilliseconds: 3000, timeoutMilliseconds: 9000,
	}));
	await world.advance(300);
	const startsBefore = world.orders.starts.length;
	for (const name of ['z0-0', 'z1-3', 'z2-5']) {
		await Promise.all([world.entries.get(name)!.leave(), world.advance(300)]);
	}

	await world.advance(5000);
	assert.deepEqual(jobs.map(job => job.verdict), jobs.map(() => ({kind: 'answered', answer: 'complete'})));
	assert.deepEqual({starts: world.orders.starts.length, mostAtOnce: world.orders.peakConcurrentRuns}, {starts: startsBefore, mostAtOnce: 1});
});

// Guards against jobs that wait for runs whose handover message was lost and whose lease nobody renews.
test('runs that were handed over to nobody are begun again once their lease has passed', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	const job = world.submit('b-1', '00000000000000aa', {
		tasks: 8, payload: '900', declaredMilliseconds: 900, timeoutMilliseconds: 9000,
	});
	await world.advance(100);
	world.entries.get('a-1')!.ownership.dispose();
	const released = await Promise.all([world.entries.get('a-1')!.executor.release(new Set(['a-target-0', 'a-target-1'] as InstanceId[])), world.advance(100)]);
	world.entries.get('a-1')!.pool.broadcast({
		kind: 'handover',
		handovers: released[0].map(handover => ({...handover, target: `${handover.target} of nobody` as InstanceId})),
		requesters: [],
	});
	await world.advance(4000);
	assert.deepEqual(job.verdict, {kind: 'answered', answer: 'complete'});
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against an adopted run that continues beside the next attempt because its requester can't be told of the adoption.
test('a run that was adopted for an entry that is not heard is stopped', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 1);
	await world.start();
	const requester = world.entries.get('b-1')!.pool.self;
	world.kill('b-1');
	const {executor} = world.entries.get('a-1')!;
	executor.receiveHandover({
		target: 'a-target-0' as InstanceId,
		runs: [{requester, request: firstTaskOfJob}],
	});
	await world.advance(50);
	assert.deepEqual(world.journal.named('runStopped').map(({cause}) => cause), ['requester not reachable']);
});

// Guards against placing tasks in a zone that operators are evacuating. Its entries still serve callers, on other zones' targets.
test('the targets of an evacuated zone get nothing new and finish what they have, until it is taken back', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	const zone = 'a' as AvailabilityZone;
	await world.start();
	const before = world.submit('a-1', '00000000000000aa', {payload: '500', declaredMilliseconds: 500, timeoutMilliseconds: 2000});
	await world.advance(100);
	world.evacuations.set(zone, true);
	await world.advance(600);
	const meanwhile = world.submit('a-1', '00000000000000bb', {tasks: 4});
	await world.advance(600);
	assert.deepEqual([before.verdict?.kind, meanwhile.verdict?.kind], ['answered', 'answered']);
	assert.deepEqual([...new Set(world.orders.starts.slice(1).map(({target}) => target.split('-')[0]))], ['b']);
	world.evacuations.set(zone, false);
	await world.advance(100);
	world.submit('a-1', '00000000000000cc', {tasks: 8});
	await world.advance(600);
	assert.ok(world.orders.starts.slice(5).some(({target}) => target.startsWith('a-')));
});
