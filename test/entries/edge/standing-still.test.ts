/** Property test of paused entries under random fault schedules, with regression tests of its findings. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {Resources} from '../../../src/base/resources.js';
import {PausableCluster} from '../../support/pausable-cluster.js';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {FaultScheduleRunner} from '../../support/fault-schedule-runner.js';
import {faultScheduleArbitrary} from '../../support/fault-schedule-arbitrary.js';

const seed = Number(process.env.PROPERTY_SEED ?? 20_261_203);
const runs = Number(process.env.PROPERTY_RUNS ?? 12);
/** Can be set higher than the time for which owners remember requests. */
const longestPauseMilliseconds = Number(process.env.PROPERTY_PAUSE ?? 9000);

// Guards against resumed entries that repeat their earlier requests, or start tasks that others run by now.
test('no task runs twice at the same time, whichever entries are paused', async () => {
	await fc.assert(fc.asyncProperty(faultScheduleArbitrary(longestPauseMilliseconds), async plan => {
		const play = new FaultScheduleRunner(plan);
		await play.run();
		assert.equal(play.peakConcurrentRuns <= 1, true);
	}), {seed, numRuns: runs, endOnFailure: process.env.PROPERTY_SHRINK === '0'});
});

// Guards against a resumed owner that reads a request together with its stop and starts the task beside the caller's next submission.
test('a request that waited while its owner was paused starts nothing beside the next submission', async () => {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 4);
	const {cluster} = world;
	await cluster.start();
	const request = createRunRequest('00000000000000aa.0.0.0', '3000');
	const [requester, owner] = ['a-1', 'b-1'].map(name => cluster.entries.get(name)!.pool);
	world.pause('b-1');
	cluster.network.breakConnection('a-1', 'b-1');
	requester!.send(owner!.self, {kind: 'run', request});
	await cluster.advance(20);
	requester!.send(owner!.self, {
		kind: 'stop', task: request.task, attempt: 1, cause: 'its job is over',
	});
	await cluster.advance(1300);
	cluster.submit('c-1', '00000000000000aa', {payload: '5000', declaredMilliseconds: 5000, timeoutMilliseconds: 9000});
	await cluster.advance(2000);
	world.resume('b-1', {first: 'network', countsPause: true, socketOrder: 0});
	await cluster.advance(200);
	cluster.network.restoreConnection('a-1', 'b-1');
	await cluster.advance(200);
	assert.equal(cluster.orders.peakConcurrentRuns, 1);
});

// Guards against a repeated report on a new connection that is attributed to a later request to another owner.
test('a former owner\'s repeated report does not affect a request to another owner', async () => {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 4);
	await world.start();
	const {pool} = world.entries.get('a-1')!;
	const tooLarge = {...createRunRequest('00000000000000aa.0.0.0', '3000'), need: new Resources(64_001, 64, 0)};
	pool.send(world.entries.get('b-1')!.pool.self, {kind: 'run', request: tooLarge});
	for (const name of ['a-1', 'b-1']) {
		world.submit(name, `00000000000000${name === 'a-1' ? 'bb' : 'cc'}`, {
			tasks: 8, payload: '5000', declaredMilliseconds: 5000, timeoutMilliseconds: 9000,
		});
	}

	await world.advance(1300);
	world.submit('a-1', '00000000000000aa', {
		tasks: 2, payload: '3000', declaredMilliseconds: 3000, timeoutMilliseconds: 9000,
	});
	await world.advance(100);
	assert.equal(world.orders.starts.at(-1)!.target.startsWith('c-'), true);
	world.network.reconnect('b-1', 'a-1');
	await world.advance(100);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});
