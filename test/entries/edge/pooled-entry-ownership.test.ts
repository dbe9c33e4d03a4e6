/** Targets and zones that change owners among entries that share them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import {Resources} from '../../../src/base/resources.js';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';

/** As another entry asks for it; no target has room for a second one of its size. */
const firstTaskOfJob = {...createRunRequest('00000000000000aa.0.0.0', '3000'), need: new Resources(40_000, 64, 0)};

// An entry is stopped for an upgrade while jobs run on its targets. No job may notice: the next owner goes on.
test('a graceful leave stops no task and begins none again', async () => {
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

// A zone's only entry dies. Its targets would stand idle until it's back; an entry of another zone joins the zone's group.
test('the targets of a zone without an entry are taken over from another zone', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	await world.advance(1000);
	world.kill('a-1');
	world.group.expire('targets.a' as OwnershipGroupName, 'a/a-1');
	await world.advance(1500);
	assert.equal(world.entries.get('b-1')!.executor.ownedTargets, 4);
});

// The store is away for minutes, as may happen. Nobody can take a target over meanwhile, so that everything goes on.
test('entries go on with what they own while the store is away', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	world.group.isUnavailable = true;
	await world.advance(10_000);
	const job = world.submit('a-1', '00000000000000aa', {tasks: 8, payload: '200'});
	await world.advance(260);
	assert.deepEqual(job.verdict, {kind: 'answered', answer: 'complete'});
});

// A zone is cut off from the others, not from the store. Its targets are out of the others' reach: an entry that covered
// the zone would take targets from those that reach them, and when the cut heals tasks are stopped and jobs hang.
test('a zone that is only cut off keeps all of its targets', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	await world.advance(1000);
	world.network.isolate('a-1', true);
	await world.advance(4000);
	assert.deepEqual(['a-1', 'b-1'].map(name => world.entries.get(name)!.executor.ownedTargets), [2, 2]);
});

// A zone is cut off from the others and from the store, so that its entries' places in their group lapse. Covered from
// another zone, its targets would meet a newer owner when the cut heals, and everything on them would end.
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

// An owner gives its targets up and its word of them is lost on the way, as when a cut heals at that moment. Nobody renews
// the runs' lease any more and nobody tells their jobs, which would wait until their callers give up.
// An entry leaves, and its word to the entry of a job comes late. The next owner has adopted the job's run and said so before.
// Taken as a new handover, the late word had the run counted as ended with its lease while the next owner went on with it: the
// task was begun a second time beside itself.
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

// In a large fleet the next owner of a target keeps no connection to the entry whose task runs there. It stopped the run, since
// it couldn't tell that entry, and a second's work was thrown away with each machine that was restarted.
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

// An owner gives up a target whose run belongs to an entry that the next owner doesn't hear. Kept alive there, the run would go
// on beside the next attempt, which its entry begins elsewhere since nobody tells it of the adoption.
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

// Operators empty a zone before work on its power supply. Its targets went on getting tasks, which would have gone down with it;
// its entries still serve their callers, on the targets of the other zones.
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
