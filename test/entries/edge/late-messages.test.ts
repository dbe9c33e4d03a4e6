/** Requests, stops and reports between entries that are lost, late, or overtaken on another connection. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Resources} from '../../../src/base/resources.js';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 4000};
/** As another entry asks for it; no target has room for a second one of its size. */
const firstTaskOfJob = {...createRunRequest(`${id}.0.0.0`, '3000'), need: new Resources(40_000, 64, 0)};
const wayToOwner = 'a-1#1>b-1#1';

/** Only the owner `b-1` has a target until `c-1` gets one. */
async function worldOfOneOwner() {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	return world;
}

// A stop is lost with a connection that fell silent: the run goes on beside the one of the caller's next submission.
test('a run whose stop was lost with its connection ends once the connection is made anew', async () => {
	const world = await worldOfOneOwner();
	const first = world.submit('a-1', id, job);
	await world.advance(100);
	assert.deepEqual(world.runningTasks(), [`${id}.0.0.0`]);
	world.network.blockedLinks.add(wayToOwner);
	await world.advance(100);
	first.cancel();
	await world.advance(400);
	world.network.blockedLinks.delete(wayToOwner);
	world.network.reconnect('a-1', 'b-1');
	world.network.reconnect('b-1', 'a-1');
	world.addTarget('c-target', 'c');
	await world.advance(900);
	world.submit('c-1', id, job);
	await world.advance(200);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// A request is held up on a connection that was given up, and its stop comes on the next one: begun after that, the run is nobody's.
test('a request that comes after its stop starts nothing', async () => {
	const world = await worldOfOneOwner();
	world.network.linkDelays.set(wayToOwner, 700);
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	world.network.linkDelays.delete(wayToOwner);
	await world.advance(300);
	first.cancel();
	await world.advance(1000);
	assert.deepEqual(world.orders.starts, []);
});

// A cut holds a request up until both sides have taken each other as lost and the caller has submitted elsewhere.
test('a request that a cut held up until its entry was lost starts nothing', async () => {
	const world = await worldOfOneOwner();
	world.network.linkDelays.set(wayToOwner, 2600);
	const first = world.submit('a-1', id, job);
	await world.advance(20);
	world.network.linkDelays.delete(wayToOwner);
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

// A refusal of a job's former submission is told again: taken for the end of another owner's run, it begins the task beside that.
test('the report of an entry that does not run the task ends no run of another one', async () => {
	const world = await worldOfOneOwner();
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

// A lost entry's run is still being stopped when the caller's next entry, refused elsewhere before, asks for another attempt of it.
test('a request for another attempt of a task that still runs for another entry waits for that run\'s end', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 2);
	await world.start();
	const owner = world.entries.get('b-1')!.pool.self;
	world.entries.get('a-1')!.pool.send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(50);
	world.entries.get('c-1')!.pool.send(owner, {kind: 'run', request: {...firstTaskOfJob, attempt: 2}});
	await world.advance(50);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// A caller leaves an entry whose own run of the task can't be stopped yet, and submits through another one, which asks it for that task.
test('a request for a task that an owner still runs for itself waits for that run\'s end', async () => {
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

// Guards against a request that is refused as outdated and then begun by its repetition, beside the next attempt.
test('a request that was refused as outdated starts nothing when it is repeated', async () => {
	const world = await worldOfOneOwner();
	const [requester, owner] = ['a-1', 'b-1'].map(name => world.entries.get(name)!.pool);
	world.network.linkDelays.set(wayToOwner, 1500);
	requester!.send(owner!.self, {kind: 'run', request: firstTaskOfJob});
	await world.advance(5);
	world.network.linkDelays.delete(wayToOwner);
	world.network.isolate('a-1', true);
	await world.advance(1000);
	world.network.isolate('a-1', false);
	await world.advance(700);
	assert.equal(world.journal.named('requestOutdated').length, 1);
	requester!.send(owner!.self, {kind: 'run', request: firstTaskOfJob});
	await world.advance(100);
	assert.deepEqual(world.orders.starts, []);
});
