/** The callers' interface: what can't be served is told clearly and does not run. */
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {request} from 'undici';
import {JobServer} from '../../platform/job-server.js';
import type {ProfileName} from '../../src/base/profile-name.js';
import type {ServiceName} from '../../src/base/service-name.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {PauseDetector} from '../../src/runtime/pause-detector.js';
import {advanceClock} from '../support/advance-clock.js';
import {PooledCluster} from '../support/pooled-cluster.js';
import {createSnapshotMatcher} from '../support/create-snapshot-matcher.js';

const matches = createSnapshotMatcher(import.meta.url);
const id = '5c0e7a21d94b36f8';
const step = {
	count: 2, cpu: 27_000, mem_mb: 64, est_runtime_ms: 50,
};

async function frontOf(port: number) {
	const world = new PooledCluster(['a-1'], 2);
	await world.start();
	const routing = new RoutingTable(1500, world.clock, world.journal);
	const pauses = new PauseDetector(world.clock);
	const front = new JobServer({
		dispatcher: world.entries.get('a-1')!.dispatcher, routing, pauses, farFactor: 3, journal: world.journal,
	});
	await front.listen(`127.0.0.1:${port}`);
	after(() => {
		front.dispose();
	});
	const call = async (method: 'POST' | 'GET' | 'DELETE', path: string, body?: string) => {
		const answer = await request(`http://127.0.0.1:${front.port}${path}`, {method, ...(body !== undefined && {body}), headers: {host: 'host.example'}});
		return {status: answer.statusCode, retryAfter: answer.headers['retry-after'], body: await answer.body.json()};
	};

	const publish = () => {
		routing.update({
			version: 1,
			bodyLimitBytes: 2000,
			routes: [{
				queue: 'queue' as ProfileName, host: 'host.example', pathPrefix: '/queue/', service: 'service' as ServiceName, priority: 0, attempts: 3, stretch: 1.6, slackMilliseconds: 60,
			}],
		}, 'store');
	};

	return {
		world, routing, call, publish,
	};
}

test('each job that can\'t be read or served gets a clear answer, and none of them runs', async () => {
	const {world, call, publish} = await frontOf(0);
	publish();
	const cases: ReadonlyArray<readonly [name: string, path: string, body: string]> = [
		['not JSON', `/queue/${id}`, '{"spec":'],
		['no steps', `/queue/${id}`, JSON.stringify({best_effort: true})],
		['a count that is text', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, count: 'two'}]})],
		['no tasks', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, count: 0}]})],
		['a job that is to be kept', `/queue/${id}`, JSON.stringify({steps: [step]})],
		['two steps', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [step, step]})],
		['a step that waits for others', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, after: [0]}]})],
		['tasks that want one rack for all', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, same_rack: true}]})],
		['tasks that fill what others leave', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, fills: true}]})],
		['a field of a step that nobody knows', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, affinity: 'x'}]})],
		['a field of a job that nobody knows', `/queue/${id}`, JSON.stringify({best_effort: true, retries: 3, steps: [step]})],
		['a body over the limit', `/queue/${id}`, JSON.stringify({best_effort: true, spec: 'x'.repeat(300_000), steps: [step]})],
		['an id of other letters', '/queue/5c0e7a21d94b36fX', JSON.stringify({best_effort: true, steps: [step]})],
		['a short id', '/queue/5c0e', JSON.stringify({best_effort: true, steps: [step]})],
	];
	for (const [name, path, body] of cases) {
		matches(name, await call('POST', path, body));
	}

	assert.deepEqual(world.orders.starts, []);
});

// An operator has just added a route. An entry that hasn't read it yet must not say that there's no such queue: it can only
// say so while the store has lately confirmed that there is nothing newer.
test('an unknown route is denied only while the configuration is known to be fresh', async () => {
	const {world, routing, call, publish} = await frontOf(0);
	matches('no configuration yet', await call('POST', `/queue/${id}`, '{}'));
	publish();
	matches('never confirmed', await call('POST', `/other/${id}`, '{}'));
	routing.confirm(world.clock.now());
	matches('just confirmed', await call('POST', `/other/${id}`, '{}'));
	await world.advance(1600);
	matches('confirmed long ago', await call('POST', `/other/${id}`, '{}'));
	matches('a known route is served', await call('GET', '/queue/'));
});

test('a job that nobody knows is gone, for questions and cancellations alike', async () => {
	const {call, publish} = await frontOf(0);
	publish();
	matches('question', await call('GET', `/queue/${id}`));
	matches('cancellation', await call('DELETE', `/queue/${id}`));
});

// A job that allows more than is made of it is served: its caller loses nothing by that.
test('fields that allow something, or ask for nothing, keep no job from being served', async () => {
	const {world, call, publish} = await frontOf(0);
	publish();
	const fields = {
		checkpoints: true, speculative: true, image: 'a', after: [], same_rack: false, max_per_server: 0, data_rack: '', requires: '',
	};
	const answer = call('POST', `/queue/${id}`, JSON.stringify({
		best_effort: true, spec: '20', times: 0, steps: [{...step, ...fields}],
	}));
	while (world.journal.named('jobEnded').length === 0) {
		await advanceClock(world.clock, 5);
	}

	const {status, body} = await answer;
	assert.deepEqual([status, body], [200, {state: 'complete'}]);
});
