/** The targets' interface: the driver against the stand-in, with its faults. */
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {after, test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {CancellationSource} from '../../../src/base/cancellation-source.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {TaskId} from '../../../src/base/task-id.js';
import {HttpTargetDriver} from '../../../src/runtime/targets/http-target-driver.js';
import {TargetServer} from '../../../standins/target/target-server.js';
import {neverCancelled} from '../../support/never-cancelled.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matchSnapshot = createSnapshotMatcher(import.meta.url);
const driver = new HttpTargetDriver(1024);
after(() => {
	driver.dispose();
});

async function targetWith(slots = 1) {
	const server = new TargetServer(slots, 64, new Set());
	const port = await server.listen('127.0.0.1', 0);
	after(() => {
		server.kill();
	});
	return {server, target: {id: 'target-1' as InstanceId, address: `127.0.0.1:${port}`}};
}

function orderOf(payload: Record<string, unknown>, limitMilliseconds = 2000, id = 'job/0') {
	return {
		taskId: id as TaskId, profile: 'flight-desk' as ProfileName, payload: payload as never, limitMilliseconds,
	};
}

/** Run times and ports differ from run to run. */
function steady(verdict: unknown): unknown {
	return JSON.parse(JSON.stringify(verdict).replaceAll(/"runMilliseconds":[\d.]+/gv, '"runMilliseconds":"some"'));
}

test('a result, a failure, and a refusal', async () => {
	const {server, target} = await targetWith();
	matchSnapshot('result', steady(await driver.run(target, orderOf({runMilliseconds: 1, echo: 'seat 4 free'}), neverCancelled)));
	matchSnapshot('failure', steady(await driver.run(target, orderOf({runMilliseconds: 1, fails: true}, 2000, 'job/1'), neverCancelled)));
	server.behave({mode: 'refusing'});
	matchSnapshot('refusal', await driver.run(target, orderOf({}, 2000, 'job/2'), neverCancelled));
	assert.deepEqual([server.truth.starts, server.truth.doubleStarts], [2, 0]);
});

test('a port that refuses proves that nothing ran', async () => {
	const {server, target} = await targetWith();
	server.kill();
	const verdict = await driver.run(target, orderOf({}), neverCancelled);
	assert.deepEqual([verdict.kind, verdict.kind === 'notRun' && verdict.cause], ['notRun', 'targetRefused']);
});

test('a target killed in the middle of a task leaves a doubt and gets no second request', async () => {
	// The worker dies while it computes a loading sheet: the connection breaks after the request was written.
	// "Not run" here would let somebody start it again.
	const {server, target} = await targetWith();
	const running = driver.run(target, orderOf({runMilliseconds: 1500}), neverCancelled);
	while (server.truth.starts === 0) {
		await wait(1);
	}

	server.kill();
	const verdict = await running;
	assert.deepEqual([verdict.kind, verdict.kind === 'mayHaveRun' && verdict.cause], ['mayHaveRun', 'connectionLost']);
	assert.equal(server.truth.starts, 1);
});

test('an answer that names another task is dropped', async () => {
	// A proxy on the way mixes two answers up: the guest of one booking would get the seat of another.
	const {server, target} = await targetWith();
	server.behave({mode: 'crossed'});
	matchSnapshot('crossed', await driver.run(target, orderOf({runMilliseconds: 1}), neverCancelled));
});

test('half an answer is no answer', async () => {
	const {server, target} = await targetWith();
	server.behave({mode: 'half'});
	const verdict = await driver.run(target, orderOf({runMilliseconds: 1, echo: 'a long enough answer to cut'}), neverCancelled);
	assert.deepEqual([verdict.kind, verdict.kind === 'mayHaveRun' && verdict.cause], ['mayHaveRun', 'connectionLost']);
});

test('an answer over the limit is not delivered', async () => {
	const {target} = await targetWith();
	matchSnapshot('too large', await driver.run(target, orderOf({runMilliseconds: 1, echo: 'x'.repeat(2000)}), neverCancelled));
});

test('an answer that is no JSON is not delivered', async () => {
	const server = createServer(socket => {
		socket.once('data', () => {
			socket.end('HTTP/1.1 200 OK\r\ntask-id: job/0\r\ncontent-length: 4\r\n\r\nseat');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const target = {id: 'target-1' as InstanceId, address: `127.0.0.1:${(server.address() as {port: number}).port}`};
	matchSnapshot('unreadable', await driver.run(target, orderOf({}), neverCancelled));
	server.close();
});

test('a target that goes silent is given up at the task\'s limit, in doubt', async () => {
	// The connection stays open and nothing comes: the limit of the task bounds the wait.
	const {server, target} = await targetWith();
	server.behave({mode: 'silent'});
	matchSnapshot('silent', await driver.run(target, orderOf({runMilliseconds: 1}, 50), neverCancelled));
});

test('cancelling stops the task at the target', async () => {
	const {server, target} = await targetWith();
	const source = new CancellationSource();
	const running = driver.run(target, orderOf({runMilliseconds: 1500}), source.token);
	while (server.truth.starts === 0) {
		await wait(1);
	}

	source.cancel();
	matchSnapshot('cancelled', await running);
	assert.deepEqual(await driver.usage(target), {running: [], lagMilliseconds: 0});
	assert.equal(server.truth.stopped, 1);
});
