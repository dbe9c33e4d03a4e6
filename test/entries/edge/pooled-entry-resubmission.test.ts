/** Jobs that are resubmitted while their former runs are still active. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Resources} from '../../../src/base/resources.js';
import type {Pool} from '../../../src/features/pool/pool.js';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';

/** A request from another entry, too large for two of them to fit on one target. */
const firstTaskOfJob = {...createRunRequest('00000000000000aa.0.0.0', '3000'), need: new Resources(40_000, 64, 0)};

// Guards against a late report of the former run, which has the same task and attempt and is mistaken for the end of the new run.
test('a job that is submitted again waits for the end of its former runs, and no task runs twice at a time', async () => {
	const world = new PooledCluster(['a-1'], 4);
	await world.start();
	const first = world.submit('a-1', '00000000000000aa', {
		tasks: 2, payload: '5000', declaredMilliseconds: 5000, timeoutMilliseconds: 9000,
	});
	await world.advance(50);
	for (const {target} of world.orders.starts) {
		world.orders.behaviour.set(target, 'silent');
	}

	first.cancel();
	await world.advance(50);
	world.submit('a-1', '00000000000000aa', {
		tasks: 2, payload: '5000', declaredMilliseconds: 5000, timeoutMilliseconds: 9000,
	});
	await world.advance(4000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
	assert.equal(world.runningTasks().length, 2);
});

// Guards against running a job twice when its caller reconnects before the entry has noticed the lost connection.
test('a job that is submitted again while it runs goes on, and its latest submitter gets the answer', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	const first = world.submit('a-1', '00000000000000aa', {tasks: 6, payload: '400', declaredMilliseconds: 400});
	await world.advance(200);
	const second = world.submit('a-1', '00000000000000aa', {tasks: 6, payload: '400', declaredMilliseconds: 400});
	await world.advance(50);
	first.cancel();
	await world.advance(220);
	assert.deepEqual(second.verdict, {kind: 'answered', answer: 'complete'});
	assert.equal(first.verdict?.kind, 'mayHaveRun');
	assert.equal(world.orders.starts.length, 6);
});

// Guards against a request that is mistaken for a repetition of another entry's request for the same task, and never answered.
test('a request for a task that still runs for another entry is answered once that run has ended', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 2);
	await world.start();
	const poolOf = (name: string) => world.entries.get(name)!.pool;
	const owner = poolOf('b-1').self;
	const request = firstTaskOfJob;

	const reports: string[] = [];
	poolOf('c-1').onDidReceive(({message}) => {
		if (message.kind === 'report') {
			reports.push(message.outcome.kind === 'refused' ? message.outcome.cause : message.outcome.kind);
		}
	});
	poolOf('a-1').send(owner, {kind: 'run', request});
	await world.advance(50);
	poolOf('c-1').send(owner, {kind: 'run', request});
	await world.advance(50);
	assert.deepEqual(reports, []);
	poolOf('a-1').send(owner, {
		kind: 'stop', task: request.task, attempt: 1, cause: 'its caller is gone',
	});
	await world.advance(150);
	assert.deepEqual([reports, world.runningTasks()], [['superseded'], []]);
});

// Guards against an owner that starts a resubmitted task on another target while it still runs the task for another entry.
test('an entry that still runs a task for another one does not begin it for itself', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 2);
	await world.start();
	const {pool} = world.entries.get('a-1')!;
	const owner = world.entries.get('b-1')!.pool.self;
	pool.send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(50);
	world.submit('b-1', '00000000000000aa', {payload: '3000', declaredMilliseconds: 3000, timeoutMilliseconds: 9000});
	await world.advance(50);
	assert.equal(world.runningTasks().length, 1);
	pool.send(owner, {
		kind: 'stop', task: firstTaskOfJob.task, attempt: 1, cause: 'its caller is gone',
	});
	await world.advance(200);
	assert.deepEqual([world.orders.peakConcurrentRuns, world.runningTasks()], [1, ['00000000000000aa.0.0.0']]);
});

// Guards against starting the repeated requests of an entry that was paused, declared lost, and has resumed.
test('a request that is repeated by an entry that stood still starts nothing', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 4);
	await world.start();
	const poolOf = (name: string) => world.entries.get(name)!.pool;
	const owner = poolOf('b-1').self;
	poolOf('a-1').send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(20);
	world.network.isolate('a-1', true);
	await world.advance(1400);
	assert.deepEqual(world.runningTasks(), []);
	world.submit('c-1', '00000000000000aa', {payload: '5000', declaredMilliseconds: 5000, timeoutMilliseconds: 9000});
	await world.advance(1700);
	world.network.isolate('a-1', false);
	poolOf('c-1').send(owner, {kind: 'run', request: createRunRequest('00000000000000bb.0.0.0', '10')});
	poolOf('a-1').send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(100);
	assert.equal(world.orders.peakConcurrentRuns, 1);
	assert.equal(world.orders.starts.filter(({task}) => task === firstTaskOfJob.task).length, 2);
});

// Guards against a request that an entry repeats after a pause longer than its owner remembers requests.
test('a request that is repeated after its owner has forgotten it starts nothing', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 4);
	await world.start();
	const poolOf = (name: string) => world.entries.get(name)!.pool;
	const owner = poolOf('b-1').self;
	poolOf('a-1').send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(20);
	world.network.isolate('a-1', true);
	await world.advance(1400);
	world.submit('c-1', '00000000000000aa', {payload: '60000', declaredMilliseconds: 60_000, timeoutMilliseconds: 90_000});
	await world.advance(40_000);
	world.network.isolate('a-1', false);
	poolOf('c-1').send(owner, {kind: 'run', request: createRunRequest('00000000000000bb.0.0.0', '10')});
	poolOf('a-1').send(owner, {kind: 'run', request: firstTaskOfJob});
	await world.advance(100);
	assert.equal(world.orders.peakConcurrentRuns, 1);
	assert.equal(world.orders.starts.filter(({task}) => task === firstTaskOfJob.task).length, 2);
});

// Guards against repeating all remembered reports on a new connection, where one could be mistaken for the end of a later run.
test('only what may have been missed is told again on a new connection', async () => {
	const world = new PooledCluster(['a-1', 'b-1'], 4);
	await world.start();
	const [requester, owner] = ['a-1', 'b-1'].map(name => world.entries.get(name)!.pool) as [Pool, Pool];
	const told: string[] = [];
	requester.onDidReceive(({message}) => {
		if (message.kind === 'report') {
			told.push(message.task);
		}
	});
	requester.send(owner.self, {kind: 'run', request: createRunRequest('00000000000000cc.0.0.0', '10')});
	await world.advance(5000);
	requester.send(owner.self, {kind: 'run', request: createRunRequest('00000000000000dd.0.0.0', '10')});
	await world.advance(100);
	world.network.reconnect('b-1', 'a-1');
	await world.advance(100);
	assert.deepEqual(told, ['00000000000000cc.0.0.0', '00000000000000dd.0.0.0', '00000000000000dd.0.0.0']);
});
