/** Targets whose capacity changes while they run tasks. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import {executorWorld} from '../../support/executor-world.js';
import {passTime} from '../../support/pass-time.js';
import {requestOf} from '../../support/run-request-of.js';
import {targetNamed} from '../../support/target-named.js';

const entry = 'entry-1' as MemberId;
const target = targetNamed('target');

async function ownerOfTarget() {
	const world = executorWorld();
	const owner = world.executorOf();
	world.assign(owner.executor, target, 1);
	await passTime(world.clock, 20);
	const resize = (cpuMillis: number) => {
		world.assign(owner.executor, {...target, capacity: new Resources(cpuMillis, 1000, 0)}, 1);
	};

	return {...world, ...owner, resize};
}

// Guards against starting tasks beyond the new capacity of a target that shrinks while tasks run on it.
test('a target that has shrunk gets no task until it fits into the new capacity', async () => {
	const {executor, clock, resize, reports} = await ownerOfTarget();
	executor.start(requestOf('first', '100'), entry);
	executor.start(requestOf('second', '300'), entry);
	await passTime(clock, 20);
	resize(32_000);
	assert.equal(executor.freeCapacity[0]!.room.cpuMillis < 0, true);
	await passTime(clock, 150);
	assert.equal(executor.start(requestOf('early', '100'), entry), undefined);
	await passTime(clock, 200);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['first done', 'second done']);
	assert.equal(executor.start(requestOf('fits', '100'), entry), 'target');
	assert.equal(executor.start(requestOf('beside', '100'), entry), undefined);
});

test('a run that is being stopped keeps its capacity reserved on a target that has shrunk', async () => {
	const {executor, clock, resize} = await ownerOfTarget();
	executor.start(requestOf('stopped', '5000'), entry);
	await passTime(clock, 20);
	resize(32_000);
	executor.stop('stopped', 1, 'its job is over');
	assert.equal(executor.start(requestOf('next', '100'), entry), undefined);
	await passTime(clock, 20);
	assert.equal(executor.start(requestOf('next', '100'), entry), 'target');
});

test('a target that has grown takes more tasks at once', async () => {
	const {executor, resize} = await ownerOfTarget();
	resize(96_000);
	const started = ['a', 'b', 'c', 'd'].map(task => executor.start(requestOf(task, '100'), entry));
	assert.deepEqual(started, ['target', 'target', 'target', undefined]);
});

// A target with an outdated record in the catalogue rejects starts; it must not be asked again for each waiting task.
test('a target that rejects a task for lack of capacity gets no start until it has reported or changed its capacity', async () => {
	const {executor, orders, clock, resize, reports} = await ownerOfTarget();
	orders.guardedCpuMillis.set(target.id, 27_000);
	executor.start(requestOf('first', '300'), entry);
	await passTime(clock, 20);
	assert.equal(executor.start(requestOf('second', '100'), entry), 'target');
	await passTime(clock, 20);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['second refused']);
	assert.equal(executor.start(requestOf('third', '100'), entry), undefined);
	assert.deepEqual(executor.freeCapacity, []);
	resize(65_000);
	assert.equal(executor.start(requestOf('after resize', '100'), entry), 'target');
	await passTime(clock, 20);
	assert.equal(executor.start(requestOf('fourth', '100'), entry), undefined);
	await passTime(clock, 300);
	assert.equal(executor.start(requestOf('after an end', '100'), entry), 'target');
});
