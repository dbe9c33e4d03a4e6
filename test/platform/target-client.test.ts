/** Orders to targets, with the worker's stand-in. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TargetClient} from '../../platform/target-client.js';
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {FencingToken} from '../../src/base/fencing-token.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import {Resources} from '../../src/base/resources.js';
import type {ServiceName} from '../../src/base/service-name.js';
import type {TargetTime} from '../../src/base/target-time.js';
import type {TaskId} from '../../src/base/task-id.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';
import {WorkerService} from '../../standins/worker/worker-service.js';
import {RecordingJournal} from '../support/recording-journal.js';
import {serveRoutes} from '../support/serve-routes.js';

/**
 * Time limit of orders that are answered. The first one includes loading Node's `Response`, and took 18 to 52 ms at a load of 16;
 * 150 ms were too short on a busier machine.
 */
const limitMilliseconds = 10_000;
/** Time limit of orders that aren't answered. */
const unansweredMilliseconds = 150;

async function targetOf(worker = new WorkerService('i-1', 64_000, 27_000)) {
	const target: TargetRecord = {
		id: 'i-1' as InstanceId,
		incarnation: undefined,
		address: await serveRoutes(worker.routes()),
		zone: 'z' as AvailabilityZone,
		service: 's' as ServiceName,
		isDraining: false,
		capacity: new Resources(64_000, 1000, 0),
		labels: [],
	};
	return {worker, target, client: new TargetClient(new RecordingJournal())};
}

function startOf(task: string, {attempt = 1, fence = 1, payload = '30', until = Number.MAX_SAFE_INTEGER, limit = limitMilliseconds} = {}) {
	return {
		task: task as TaskId, attempt, payload, fence: fence as FencingToken, leaseUntil: until as TargetTime, limitMilliseconds: limit,
	};
}

/** A worker whose runs go on until `endRuns` is called, and whose leases and waits don't expire. */
function createManualWorker(runMilliseconds: number) {
	const ends: Array<() => void> = [];
	const worker = new WorkerService('i-1', 64_000, 27_000, undefined, undefined, (callback, milliseconds) => {
		if (milliseconds === runMilliseconds) {
			ends.push(callback);
		}

		return undefined;
	});
	const endRuns = () => {
		for (const end of ends.splice(0)) {
			end();
		}
	};

	return {worker, endRuns};
}

function renewalOf(acknowledged: number, wait: number) {
	return {
		fence: 1 as FencingToken, acknowledged, leaseUntil: undefined, waitMilliseconds: wait, limitMilliseconds,
	};
}

test('a run is started, listed and reported as ended until its end is acknowledged', async () => {
	const {worker, endRuns} = createManualWorker(700);
	const {target, client} = await targetOf(worker);
	const started = await client.start(target, startOf('t', {payload: '700'}));
	assert.equal(started.kind, 'started');
	const waiting = client.renew(target, renewalOf(0, 1500));
	// On a new connection, so that the waiting renewal has reached the target before it.
	const first = await client.renew(target, renewalOf(0, 0));
	assert.deepEqual(first.kind === 'report' && [first.running, first.ended], [[{task: 't', attempt: 1}], []]);
	endRuns();
	const second = await waiting;
	assert.deepEqual(second.kind === 'report' && [second.running, second.ended], [[], [{
		number: 1, task: 't', attempt: 1, how: 'done',
	}]]);
	const third = await client.renew(target, renewalOf(1, 0));
	assert.deepEqual(third.kind === 'report' && third.ended, []);
	client.disconnect(target);
});

test('each rejection by a target maps to its own kind', async () => {
	const {worker, target, client} = await targetOf();
	const kinds: string[] = [];
	const kindOf = async (order: ReturnType<typeof startOf>, at = target) => {
		const reply = await client.start(at, order);
		kinds.push(reply.kind);
	};

	await kindOf(startOf('a', {fence: 5, payload: '5000'}));
	await kindOf(startOf('a', {fence: 5, payload: '5000'}));
	await kindOf(startOf('b', {fence: 4}));
	await kindOf(startOf('b', {fence: 5, until: 1}));
	await kindOf(startOf('c', {fence: 5, payload: '5000'}));
	await kindOf(startOf('d', {fence: 5}));
	const stopped = await client.stop(target, {
		task: 'a' as TaskId, attempt: 1, fence: 5 as FencingToken, limitMilliseconds,
	});
	kinds.push(stopped.kind);
	await client.renew(target, {...renewalOf(0, 500), fence: 5 as FencingToken});
	await kindOf(startOf('a', {fence: 5}));
	worker.injectFault({mode: 'unhealthy'});
	await kindOf(startOf('e', {fence: 5}));
	worker.injectFault({mode: 'garbled'});
	await kindOf(startOf('e', {fence: 5}));
	worker.injectFault({mode: 'silent'});
	await kindOf(startOf('e', {fence: 5, limit: unansweredMilliseconds}));
	await kindOf(startOf('e', {fence: 5}), {...target, id: 'i-0' as InstanceId});
	await kindOf(startOf('e', {fence: 5}), {...target, id: 'i-9' as InstanceId, address: '127.0.0.1:1'});
	assert.deepEqual(kinds, ['started', 'started', 'fenced', 'expired', 'started', 'noRoom', 'accepted', 'superseded', 'unhealthy', 'unanswered', 'unanswered', 'replaced', 'unreachable']);
	client.disconnect(target);
});

test('a report names the incarnation of the target', async () => {
	const {worker, target, client} = await targetOf();
	const report = await client.renew(target, renewalOf(0, 0));
	assert.equal(report.kind === 'report' && report.incarnation, worker.incarnation);
	client.disconnect(target);
});

// Orders must not go on to the previous address of a restarted target.
test('orders go to the new address of a target', async () => {
	const {target, client} = await targetOf();
	const former = await client.renew({...target, address: '127.0.0.1:1'}, renewalOf(0, 0));
	const next = await client.renew(target, renewalOf(0, 0));
	assert.deepEqual([former.kind, next.kind], ['unreachable', 'report']);
	client.disconnect(target);
});

// A start may be executed after its timeout; a stop sent in the meantime must prevent the run.
test('a start that is executed after its stop does not run', async () => {
	const {worker, target, client} = await targetOf();
	worker.injectFault({mode: 'late', lateMilliseconds: 400});
	const started = await client.start(target, startOf('t', {payload: '5000', limit: unansweredMilliseconds}));
	worker.injectFault({mode: 'normal'});
	const stopped = await client.stop(target, {
		task: 't' as TaskId, attempt: 1, fence: 1 as FencingToken, limitMilliseconds,
	});
	assert.deepEqual([started.kind, stopped.kind], ['unanswered', 'accepted']);
	const report = await client.renew(target, renewalOf(0, 600));
	assert.deepEqual(report.kind === 'report' && report.running, []);
	assert.deepEqual(worker.starts, []);
	client.disconnect(target);
});
