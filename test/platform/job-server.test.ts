/** HTTP interface for callers. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
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

async function serveJobs(port: number) {
	const world = new PooledCluster(['a-1'], 2);
	await world.start();
	const routing = new RoutingTable(1500, world.clock, world.journal);
	const pauses = new PauseDetector(world.clock);
	const server = new JobServer({
		dispatcher: world.entries.get('a-1')!.dispatcher, routing, pauses, farFactor: 3, journal: world.journal,
	});
	await server.listen(`127.0.0.1:${port}`);
	after(() => {
		server.dispose();
	});
	const call = async (method: 'POST' | 'GET' | 'DELETE', path: string, body?: string | Uint8Array) => {
		const answer = await request(`http://127.0.0.1:${server.port}${path}`, {method, ...(body !== undefined && {body}), headers: {host: 'host.example'}});
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

test('invalid and unsupported jobs get an error response and are not run', async () => {
	const {world, call, publish} = await serveJobs(0);
	publish();
	const cases: ReadonlyArray<readonly [name: string, path: string, body: string]> = [
		['malformed JSON', `/queue/${id}`, '{"spec":'],
		['no steps', `/queue/${id}`, JSON.stringify({best_effort: true})],
		['count is a string', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, count: 'two'}]})],
		['no tasks', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, count: 0}]})],
		['not best-effort', `/queue/${id}`, JSON.stringify({steps: [step]})],
		['two steps', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [step, step]})],
		['step with dependencies', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, after: [0]}]})],
		['unsupported same_rack', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, same_rack: true}]})],
		['unsupported fills', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, fills: true}]})],
		['unknown step field', `/queue/${id}`, JSON.stringify({best_effort: true, steps: [{...step, affinity: 'x'}]})],
		['unknown job field', `/queue/${id}`, JSON.stringify({best_effort: true, retries: 3, steps: [step]})],
		['body over the limit', `/queue/${id}`, JSON.stringify({best_effort: true, spec: 'x'.repeat(300_000), steps: [step]})],
		['id with invalid characters', '/queue/5c0e7a21d94b36fX', JSON.stringify({best_effort: true, steps: [step]})],
		['id too short', '/queue/5c0e', JSON.stringify({best_effort: true, steps: [step]})],
	];
	for (const [name, path, body] of cases) {
		matches(name, await call('POST', path, body));
	}

	assert.deepEqual(world.orders.starts, []);
});

// An entry that hasn't read a new route yet must not respond that its queue doesn't exist.
test('an unknown route gets 404 only while the configuration is confirmed to be current', async () => {
	const {world, routing, call, publish} = await serveJobs(0);
	matches('no configuration yet', await call('POST', `/queue/${id}`, '{}'));
	publish();
	matches('never confirmed', await call('POST', `/other/${id}`, '{}'));
	routing.confirm(world.clock.now());
	matches('just confirmed', await call('POST', `/other/${id}`, '{}'));
	await world.advance(1600);
	matches('confirmation expired', await call('POST', `/other/${id}`, '{}'));
	matches('a known route is served', await call('GET', '/queue/'));
});

// Guards against a job that runs with another payload than its caller sent, because its text was repaired on the way in.
test('a body that is not UTF-8 is refused, and its job is not run', async () => {
	const {world, call, publish} = await serveJobs(0);
	publish();
	const [before, after] = JSON.stringify({best_effort: true, spec: '|', steps: [step]}).split('|');
	const payloads = {
		'Latin-1': [0xE9], 'an unfinished sequence': [0xE2, 0x82], 'a surrogate': [0xED, 0xA0, 0xBD], 'an overlong sequence': [0xC0, 0xAF],
	};
	for (const [name, payload] of Object.entries(payloads)) {
		matches(name, await call('POST', `/queue/${id}`, Buffer.concat([Buffer.from(before!), Buffer.from(payload), Buffer.from(after!)])));
	}

	assert.deepEqual(world.orders.starts, []);
});

// Guards against payloads that change between the body and the order to a target of the same entry.
test('a target gets the payload that the body states', async () => {
	const {world, call, publish} = await serveJobs(0);
	publish();
	const specifications = ['"\uFEFF20"', String.raw`"\uFEFF20"`, String.raw`"\ud83d"`, String.raw`"20\u0000"`, '"20\u2028\u{1F600}"'];
	for (const [index, specification] of specifications.entries()) {
		// A byte order mark before the JSON is no part of it.
		const body = `\uFEFF{"best_effort":true,"spec":${specification},"steps":[${JSON.stringify(step)}]}`;
		const answer = call('POST', `/queue/${String(index).padStart(16, '0')}`, body);
		while (world.journal.named('jobEnded').length <= index) {
			await advanceClock(world.clock, 5);
		}

		await answer;
	}

	assert.deepEqual([...new Set(world.orders.payloads)], [...new Set(specifications.map(specification => JSON.parse(specification) as string))]);
});

test('queries and cancellations of an unknown job get 410', async () => {
	const {call, publish} = await serveJobs(0);
	publish();
	matches('query', await call('GET', `/queue/${id}`));
	matches('cancellation', await call('DELETE', `/queue/${id}`));
});

// Optional permissions and default values must not make a job unsupported.
test('a job with ignored flags and default values of unsupported fields is run', async () => {
	const {world, call, publish} = await serveJobs(0);
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
