/** Property test of paused entries under random fault schedules, with regression tests of its findings. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {Resources} from '../../../src/base/resources.js';
import {PausableWorld} from '../../support/pausable-world.js';
import {PooledWorld} from '../../support/pooled-world.js';
import {requestOf} from '../../support/run-request-of.js';
import {StandingPlay} from '../../support/standing-play.js';
import {standingPlanArbitrary} from '../../support/standing-plan-arbitrary.js';

const seed = Number(process.env.PROPERTY_SEED ?? 20_261_203);
const runs = Number(process.env.PROPERTY_RUNS ?? 12);
/** Can be set higher than the time for which owners remember requests. */
const longestPauseMilliseconds = Number(process.env.PROPERTY_PAUSE ?? 9000);

// Guards against resumed entries that repeat their earlier requests, or start tasks that others run by now.
test('no task runs twice at the same time, whichever entries are paused', async () => {
	await fc.assert(fc.asyncProperty(standingPlanArbitrary(longestPauseMilliseconds), async plan => {
		const play = new StandingPlay(plan);
		await play.play();
		assert.equal(play.mostAtOnce <= 1, true);
	}), {seed, numRuns: runs, endOnFailure: process.env.PROPERTY_SHRINK === '0'});
});

// Guards against a resumed owner that reads a request together with its stop and starts the task beside the caller's next submission.
test('a request that waited while its owner was paused starts nothing beside the next submission', async () => {
	const world = new PausableWorld(['a-1', 'b-1', 'c-1'], 4);
	const {pooled} = world;
	await pooled.start();
	const request = requestOf('00000000000000aa.0.0.0', '3000');
	const [requester, owner] = ['a-1', 'b-1'].map(name => pooled.entries.get(name)!.pool);
	world.pause('b-1');
	pooled.network.break('a-1', 'b-1');
	requester!.send(owner!.self, {kind: 'run', request});
	await pooled.pass(20);
	requester!.send(owner!.self, {
		kind: 'stop', task: request.task, attempt: 1, cause: 'its job is over',
	});
	await pooled.pass(1300);
	pooled.submit('c-1', '00000000000000aa', {payload: '5000', declared: 5000, patience: 9000});
	await pooled.pass(2000);
	world.resume('b-1', {first: 'network', isCounted: true, socketOrder: 0});
	await pooled.pass(200);
	pooled.network.restore('a-1', 'b-1');
	await pooled.pass(200);
	assert.equal(pooled.orders.mostAtOnce, 1);
});

// Guards against a repeated report on a new connection that is attributed to a later request to another owner.
test('a former owner\'s repeated report does not affect a request to another owner', async () => {
	const world = new PooledWorld(['a-1', 'b-1', 'c-1'], 4);
	await world.start();
	const {pool} = world.entries.get('a-1')!;
	const tooLarge = {...requestOf('00000000000000aa.0.0.0', '3000'), need: new Resources(64_001, 64, 0)};
	pool.send(world.entries.get('b-1')!.pool.self, {kind: 'run', request: tooLarge});
	for (const name of ['a-1', 'b-1']) {
		world.submit(name, `00000000000000${name === 'a-1' ? 'bb' : 'cc'}`, {
			tasks: 8, payload: '5000', declared: 5000, patience: 9000,
		});
	}

	await world.pass(1300);
	world.submit('a-1', '00000000000000aa', {
		tasks: 2, payload: '3000', declared: 3000, patience: 9000,
	});
	await world.pass(100);
	assert.equal(world.orders.starts.at(-1)!.target.startsWith('c-'), true);
	world.network.reconnect('b-1', 'a-1');
	await world.pass(100);
	assert.equal(world.orders.mostAtOnce, 1);
});
