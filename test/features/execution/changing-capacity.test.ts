/** Targets whose capacity changes while they run tasks. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const entry = 'entry-1' as MemberId;
const target = createTargetRecord('target');

async function ownerOfTarget() {
	const world = createExecutorFixture();
	const owner = world.createExecutor();
	world.assign(owner.executor, target, 1);
	await advanceClock(world.clock, 20);
	const resize = (cpuMillis: number) => {
		world.assign(owner.executor, {...target, capacity: new Resources(cpuMillis, 1000, 0)}, 1);
	};

	return {...world, ...owner, resize};
}

// Guards against starting tasks beyond the new capacity of a target that shrinks while tasks run on it.
test('a target that has shrunk gets no task until it fits into the new capacity', async () => {
	const {executor, clock, resize, reports} = await ownerOfTarget();
	executor.start(createRunRequest('first', '100'), entry);
	executor.start(createRunRequest('second', '300'), entry);
	await advanceClock(clock, 20);
	resize(32_000);
	assert.equal(executor.freeCapacity[0]!.room.cpuMillis < 0, true);
	await advanceClock(clock, 150);
	assert.equal(executor.start(createRunRequest('early', '100'), entry), undefined);
	await advanceClock(clock, 200);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['first done', 'second done']);
	assert.equal(executor.start(createRunRequest('fits', '100'), entry), 'target');
	assert.equal(executor.start(createRunRequest('beside', '100'), entry), undefined);
});

test('a run that is being stopped keeps its capacity reserved on a target that has shrunk', async () => {
	const {executor, clock, resize} = await ownerOfTarget();
	executor.start(createRunRequest('stopped', '5000'), entry);
	await advanceClock(clock, 20);
	resize(32_000);
	executor.stop('stopped', 1, 'its job is over');
	assert.equal(executor.start(createRunRequest('next', '100'), entry), undefined);
	await advanceClock(clock, 20);
	assert.equal(executor.start(createRunRequest('next', '100'), entry), 'target');
});

test('a target that has grown takes more tasks at once', async () => {
	const {executor, resize} = await ownerOfTarget();
	resize(96_000);
	const started = ['a', 'b', 'c', 'd'].map(task => executor.start(createRunRequest(task, '100'), entry));
	assert.deepEqual(started, ['target', 'target', 'target', undefined]);
});

// A target with an outdated record in the catalogue rejects starts; it must not be asked again for each waiting task.
test('a target that rejects a task for lack of capacity gets no start until it has reported or changed its capacity', async () => {
	const {executor, orders, clock, resize, reports} = await ownerOfTarget();
	orders.enforcedCpuMillis.set(target.id, 27_000);
	executor.start(createRunRequest('first', '300'), entry);
	await advanceClock(clock, 20);
	assert.equal(executor.start(createRunRequest('second', '100'), entry), 'target');
	await advanceClock(clock, 20);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['second refused']);
	assert.equal(executor.start(createRunRequest('third', '100'), entry), undefined);
	assert.deepEqual(executor.freeCapacity, []);
	resize(65_000);
	assert.equal(executor.start(createRunRequest('after resize', '100'), entry), 'target');
	await advanceClock(clock, 20);
	assert.equal(executor.start(createRunRequest('fourth', '100'), entry), undefined);
	await advanceClock(clock, 300);
	assert.equal(executor.start(createRunRequest('after an end', '100'), entry), 'target');
});
