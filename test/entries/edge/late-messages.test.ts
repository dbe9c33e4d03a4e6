/** Requests, stops and reports between entries that are lost, delayed or reordered. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Resources} from '../../../src/base/resources.js';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 4000};
/** A request from another entry, too large for two of them to fit on one target. */
const firstTaskOfJob = {...createRunRequest(`${id}.0.0.0`, '3000'), need: new Resources(40_000, 64, 0)};
const routeToOwner = 'a-1#1>b-1#1';

/** Only the owner `b-1` has a target until `c-1` gets one. */
async function createWorldWithOneOwner() {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	return world;
}

// Guards against a lost stop, after which the run continues beside that of the caller's next submission.
test('a run whose stop was lost with its connection ends after the reconnect', async () => {
	const world = await createWorldWithOneOwner();
	const first = world.submit('a-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.network.blockedLinks.add(routeToOwner);
	await world.advance(100);
	first.cancel();
	await world.advance(400);
	world.network.blockedLinks.delete(routeToOwner);
	world.network.reconnect('a-1', 'b-1');
	world.network.reconnect('b-1', 'a-1');
	world.addTarget('c-target', 'c');
	await world.advance(900);
	world.submit('c-1', id, job);
	await world.advance(200);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a request that is delayed on an abandoned connection and starts an unowned run after its stop has arrived.
test('a request that arrives after its stop starts nothing', async () => {
	const world = await createWorldWithOneOwner();
	world.network.linkDelays.set(routeToOwner, 700);
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	world.network.linkDelays.delete(routeToOwner);
	await world.advance(300);
	first.cancel();
	await world.advance(1000);
	assert.deepEqual(world.orders.starts, []);
});

// Guards against a request that a partition delays until the caller has submitted the job elsewhere.
test('a request that a partition delayed until its requester was declared lost starts nothing', async () => {
	const world = await createWorldWithOneOwner();
	world.network.linkDelays.set(routeToOwner, 2600);
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	world.network.linkDelays.delete(routeToOwner);
	world.network.isolate('a-1', true);
	await world.advance(1000);
	assert.equal(first.verdict?.kind, 'mayHaveRun');
	world.addTarget('c-target', 'c');
	await world.advance(1400);
	world.submit('c-1', id, job);
	await world.advance(100);
	world.network.isolate('a-1', false);
	await world.advance(500);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against a repeated refusal that is mistaken for the end of another owner's run, so that the task starts twice.
test('a report from an entry that does not run the task does not end another entry\'s run', async () => {
	const world = await createWorldWithOneOwner();
	const [requester, other] = ['a-1', 'c-1'].map(name => world.entries.get(name)!.pool);
	world.submit('a-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.addTarget('c-target', 'c');
	await world.advance(300);
	other!.send(requester!.self, {
		kind: 'report', task: firstTaskOfJob.task, attempt: 1, outcome: {kind: 'refused', cause: 'noRoom'},
	});
	await world.advance(200);
	assert.equal(world.orders.starts.length, 1);
});

// Guards against starting another attempt of a task while a lost entry's run of it is still being stopped.
test('a request for another attempt of a task waits for the end of another entry\'s run of it', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 2);
	await world.start();
	const owner = world.entries.get('b-1')!.pool.self;
	world.entries.get('a-1')!.pool.send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(50);
	world.entries.get('c-1')!.pool.send(owner, {kind: 'run', request: {...firstTaskOfJob, attempt: 2}});
	await world.advance(50);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against starting a requested task beside the owner's own run of it, which can't be stopped yet.
test('a request for a task waits for the end of the owner\'s own run of it', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 0);
	world.addTarget('b-target-0', 'b');
	world.addTarget('b-target-1', 'b');
	await world.start();
	const first = world.submit('b-1', id, job);
	await world.advance(50);
	world.orders.behaviour.set(world.orders.starts[0]!.target, 'silent');
	first.cancel();
	await world.advance(100);
	world.entries.get('a-1')!.pool.send(world.entries.get('b-1')!.pool.self, {kind: 'run', request: firstTaskOfJob});
	await world.advance(50);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against an outdated request that is refused at first but started when repeated, beside the next attempt.
test('a request that was refused as outdated starts nothing when repeated', async () => {
	const world = await createWorldWithOneOwner();
	const [requester, owner] = ['a-1', 'b-1'].map(name => world.entries.get(name)!.pool);
	world.network.linkDelays.set(routeToOwner, 1500);
	requester!.send(owner!.self, {kind: 'run', request: firstTaskOfJob});
	await world.advance(5);
	world.network.linkDelays.delete(routeToOwner);
	world.network.isolate('a-1', true);
	await world.advance(1000);
	world.network.isolate('a-1', false);
	await world.advance(700);
	assert.equal(world.journal.named('requestOutdated').length, 1);
	requester!.send(owner!.self, {kind: 'run', request: firstTaskOfJob});
	await world.advance(100);
	assert.deepEqual(world.orders.starts, []);
});
