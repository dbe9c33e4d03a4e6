/** Tests of the HTTP target driver against a fake target with faults. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
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

async function startTarget(slots = 1) {
	const server = new TargetServer(slots, 64, new Set());
	const port = await server.listen('127.0.0.1', 0);
	after(() => {
		server.kill();
	});
	return {server, target: {id: 'target-1' as InstanceId, address: `127.0.0.1:${port}`}};
}

function createRequest(payload: Record<string, unknown>, limitMilliseconds = 2000, id = 'job/0') {
	return {
		taskId: id as TaskId, profile: 'flight-desk' as ProfileName, payload: payload as never, limitMilliseconds,
	};
}

/** Runs a task on a target that answers with the given body. */
async function verdictOn(body: Uint8Array) {
	const head = Buffer.from(`HTTP/1.1 200 OK\r\ntask-id: job/0\r\ncontent-length: ${body.length}\r\n\r\n`);
	const server = createServer(socket => {
		socket.once('data', () => {
			socket.end(Buffer.concat([head, body]));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const target = {id: 'target-1' as InstanceId, address: `127.0.0.1:${(server.address() as {port: number}).port}`};
	const verdict = await driver.run(target, createRequest({}), neverCancelled);
	server.close();
	return verdict;
}

/** Replaces run times, which vary between runs. */
function withoutRunTime(verdict: unknown): unknown {
	return JSON.parse(JSON.stringify(verdict).replaceAll(/"runMilliseconds":[\d.]+/gv, '"runMilliseconds":"some"'));
}

test('a result, a failure and a refusal are distinguished', async () => {
	const {server, target} = await startTarget();
	matchSnapshot('result', withoutRunTime(await driver.run(target, createRequest({runMilliseconds: 1, echo: 'seat 4 free'}), neverCancelled)));
	matchSnapshot('failure', withoutRunTime(await driver.run(target, createRequest({runMilliseconds: 1, fails: true}, 2000, 'job/1'), neverCancelled)));
	server.setBehaviour({mode: 'refusing'});
	matchSnapshot('refusal', await driver.run(target, createRequest({}, 2000, 'job/2'), neverCancelled));
	assert.deepEqual([server.counters.starts, server.counters.doubleStarts], [2, 0]);
});

test('a refused connection means that the task did not run', async () => {
	const {server, target} = await startTarget();
	server.kill();
	const verdict = await driver.run(target, createRequest({}), neverCancelled);
	assert.deepEqual([verdict.kind, verdict.kind === 'notRun' && verdict.cause], ['notRun', 'targetRefused']);
});

test('a target killed during a task gives "may have run" and gets no second request', async () => {
	// Guards against reporting "not run" after the request was written, which would allow a second start.
	const {server, target} = await startTarget();
	const running = driver.run(target, createRequest({runMilliseconds: 1500}), neverCancelled);
	while (server.counters.starts === 0) {
		await wait(1);
	}

	server.kill();
	const verdict = await running;
	assert.deepEqual([verdict.kind, verdict.kind === 'mayHaveRun' && verdict.cause], ['mayHaveRun', 'connectionLost']);
	assert.equal(server.counters.starts, 1);
});

test('a response for another task is discarded', async () => {
	// Guards against delivering a response that a proxy mixed up with another task's.
	const {server, target} = await startTarget();
	server.setBehaviour({mode: 'crossed'});
	matchSnapshot('crossed', await driver.run(target, createRequest({runMilliseconds: 1}), neverCancelled));
});

test('a truncated response is not delivered', async () => {
	const {server, target} = await startTarget();
	server.setBehaviour({mode: 'half'});
	const verdict = await driver.run(target, createRequest({runMilliseconds: 1, echo: 'a long enough answer to cut'}), neverCancelled);
	assert.deepEqual([verdict.kind, verdict.kind === 'mayHaveRun' && verdict.cause], ['mayHaveRun', 'connectionLost']);
});

test('a response over the size limit is not delivered', async () => {
	const {target} = await startTarget();
	matchSnapshot('too large', await driver.run(target, createRequest({runMilliseconds: 1, echo: 'x'.repeat(2000)}), neverCancelled));
});

test('a response that is not JSON is not delivered', async () => {
	matchSnapshot('unreadable', await verdictOn(Buffer.from('seat')));
});

// Guards against a caller that gets another result than the target gave, because its text was repaired on the way.
test('a result that is not UTF-8 is not delivered', async () => {
	matchSnapshot('not UTF-8', await verdictOn(Buffer.concat([Buffer.from('{"result":"caf'), Buffer.from([0xE9]), Buffer.from('"}')])));
});

test('a result that begins with a byte order mark is delivered with it', async () => {
	const {target} = await startTarget();
	const verdict = await driver.run(target, createRequest({runMilliseconds: 1, echo: '\uFEFFseat 4'}), neverCancelled);
	assert.equal(verdict.kind === 'answered' && verdict.answer.kind === 'result' && verdict.answer.value, '\uFEFFseat 4');
});

test('an unresponsive target gives "may have run" at the time limit of the task', async () => {
	// Guards against waiting longer than the task's limit on an open connection.
	const {server, target} = await startTarget();
	server.setBehaviour({mode: 'silent'});
	matchSnapshot('silent', await driver.run(target, createRequest({runMilliseconds: 1}, 50), neverCancelled));
});

test('cancellation stops the task on the target', async () => {
	const {server, target} = await startTarget();
	const source = new CancellationSource();
	const running = driver.run(target, createRequest({runMilliseconds: 1500}), source.token);
	while (server.counters.starts === 0) {
		await wait(1);
	}

	source.cancel();
	matchSnapshot('cancelled', await running);
	assert.deepEqual(await driver.usage(target), {running: [], lagMilliseconds: 0});
	assert.equal(server.counters.stopped, 1);
});
