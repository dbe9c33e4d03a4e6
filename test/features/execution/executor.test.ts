/** Execution on targets under one owner, and the change to another owner. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import type {Executor} from '../../../src/features/execution/executor.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const entry = 'entry-1' as MemberId;

/** Starts a run on the target named `target`, and releases the target 300 ms later. */
async function releaseDuringRun({clock, assign}: ReturnType<typeof createExecutorFixture>, owner: Executor, payload: string) {
	const target = createTargetRecord('target');
	assign(owner, target, 1);
	await advanceClock(clock, 20);
	owner.start(createRunRequest('task', payload), entry);
	await advanceClock(clock, 300);
	return owner.release(new Set([target.id]));
}

test('two tasks of 27 cores fit into a target of 64, a third fits once one has ended', async () => {
	const {clock, createExecutor, assign} = createExecutorFixture();
	const {executor, reports} = createExecutor();
	assign(executor, createTargetRecord('target'), 1);
	await advanceClock(clock, 20);
	assert.equal(executor.start(createRunRequest('a', '100'), entry), 'target');
	assert.equal(executor.start(createRunRequest('b', '300'), entry), 'target');
	assert.equal(executor.start(createRunRequest('c', '100'), entry), undefined);
	await advanceClock(clock, 120);
	assert.deepEqual(reports.map(({task, outcome}) => [task, outcome.kind]), [['a', 'done']]);
	assert.equal(executor.start(createRunRequest('c', '100'), entry), 'target');
});

// The target kills runs whose lease expires, so the owner has to renew the lease of a long run.
test('a task that takes longer than a lease succeeds', async () => {
	const {clock, createExecutor, assign} = createExecutorFixture();
	const {executor, reports} = createExecutor();
	assign(executor, createTargetRecord('target'), 1);
	await advanceClock(clock, 20);
	executor.start(createRunRequest('long', '3600'), entry);
	await advanceClock(clock, 3700);
	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['done']);
});

// The target executes the start but its answer is lost. Reporting the task as gone before its stop is confirmed would let it
// run twice.
test('a start without an answer is stopped before the task is reported gone', async () => {
	const {clock, orders, createExecutor, assign} = createExecutorFixture();
	const {executor, reports} = createExecutor();
	const target = createTargetRecord('target');
	assign(executor, target, 1);
	await advanceClock(clock, 700);
	orders.behaviour.set(target.id, 'loses answers');
	executor.start(createRunRequest('doubtful', '5000'), entry);
	await advanceClock(clock, 100);
	assert.deepEqual(orders.running(target.id), ['doubtful']);
	// The poll for the run is unanswered too.
	await advanceClock(clock, 180);
	assert.deepEqual(orders.running(target.id), ['doubtful']);
	assert.equal(reports.length, 0);
	orders.behaviour.set(target.id, 'answers');
	await advanceClock(clock, 600);
	assert.deepEqual(orders.running(target.id), []);
	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['gone']);
});

// Guards against stopping a run, and repeating its task elsewhere, only because the answer to its start was lost.
test('a run continues when its start was executed but the answer was lost', async () => {
	const {clock, orders, createExecutor, assign} = createExecutorFixture();
	const {executor, reports} = createExecutor();
	const target = createTargetRecord('target');
	assign(executor, target, 1);
	await advanceClock(clock, 20);
	orders.behaviour.set(target.id, 'loses start answers');
	executor.start(createRunRequest('lasts', '400'), entry);
	executor.start(createRunRequest('short', '60'), entry);
	await advanceClock(clock, 600);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['short done', 'lasts done']);
	assert.equal(orders.starts.length, 2);
});

// A lost start must be detected quickly enough that a short task can still meet its objective on another target.
test('a start that never reached its target is reported gone within the duration of a short task', async () => {
	const {clock, orders, createExecutor, assign} = createExecutorFixture();
	const {executor, reports} = createExecutor();
	const target = createTargetRecord('target');
	assign(executor, target, 1);
	for (let run = 0; run < 25; run += 1) {
		executor.start(createRunRequest(`before-${run}`, '5'), entry);
		await advanceClock(clock, 30);
	}

	executor.start(createRunRequest('neighbour', '5000'), entry);
	await advanceClock(clock, 120);
	reports.length = 0;
	orders.behaviour.set(target.id, 'loses starts');
	executor.start(createRunRequest('lost', '5000'), entry);
	await advanceClock(clock, 60);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['lost gone']);
	assert.deepEqual(orders.running(target.id), ['neighbour']);
});

// A task on a silent target may run until its lease expires and must not start elsewhere before.
test('a run on a silent target is reported gone only after its lease has expired', async () => {
	const {clock, orders, createExecutor, assign} = createExecutorFixture();
	const {executor, reports} = createExecutor();
	const target = createTargetRecord('target');
	assign(executor, target, 1);
	await advanceClock(clock, 20);
	executor.start(createRunRequest('task', '5000'), entry);
	await advanceClock(clock, 100);
	orders.behaviour.set(target.id, 'silent');
	while (orders.running(target.id).length > 0) {
		assert.equal(reports.length, 0);
		await advanceClock(clock, 5);
	}

	await advanceClock(clock, 1400);
	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['gone']);
	assert.equal(executor.start(createRunRequest('next', '100'), entry), undefined);
});

// A handover that arrives before the change of owner must let runs continue without a stop or a second start.
test('runs continue under the next owner of their target', async () => {
	const world = createExecutorFixture();
	const {clock, orders, createExecutor, assign} = world;
	const first = createExecutor();
	const second = createExecutor();
	const target = createTargetRecord('target');
	const handovers = await releaseDuringRun(world, first.executor, '1500');
	for (const handover of handovers) {
		second.executor.receiveHandover(handover);
	}

	await advanceClock(clock, 100);
	assign(second.executor, target, 2);
	await advanceClock(clock, 1500);
	assert.deepEqual(first.reports, []);
	assert.deepEqual(second.reports.map(({task, outcome}) => [task, outcome.kind]), [['task', 'done']]);
	assert.equal(orders.starts.length, 1);
});

// The jobs of an owner that crashed may be resubmitted at once, so the next owner must not renew its runs.
test('runs that were not handed over are stopped, and nothing is started before they have ended', async () => {
	const {clock, orders, createExecutor, assign} = createExecutorFixture();
	const first = createExecutor();
	const second = createExecutor();
	const target = createTargetRecord('target');
	assign(first.executor, target, 1);
	await advanceClock(clock, 20);
	first.executor.start(createRunRequest('orphan', '5000'), entry);
	await advanceClock(clock, 100);
	first.executor.dispose();
	assign(second.executor, target, 2);
	await advanceClock(clock, 100);
	assert.equal(second.executor.start(createRunRequest('next', '100'), entry), undefined);
	await advanceClock(clock, 400);
	assert.deepEqual(orders.running(target.id), []);
	await advanceClock(clock, 700);
	assert.equal(second.executor.start(createRunRequest('next', '100'), entry), target.id);
});

// An entry that was suspended while another one became the owner must stop using its outdated token.
test('a target that has a newer owner is not ordered again with the rejected token', async () => {
	const {clock, journal, createExecutor, assign} = createExecutorFixture();
	const first = createExecutor();
	const second = createExecutor();
	const target = createTargetRecord('target');
	assign(first.executor, target, 1);
	await advanceClock(clock, 20);
	assign(second.executor, target, 2);
	await advanceClock(clock, 1000);
	assert.equal(first.executor.ownedTargets, 0);
	assign(first.executor, target, 1);
	assert.equal(first.executor.ownedTargets, 0);
	assert.equal(journal.named('sessionEnded').length, 1);
	assign(first.executor, target, 3);
	assert.equal(first.executor.ownedTargets, 1);
});

// A target changes owners twice before the second owner has renewed the lease. Reporting the run as gone at once would start
// its task elsewhere while it continues under the first owner's lease.
test('an adopted run is reported gone only after the former owner\'s lease has expired as well', async () => {
	const world = createExecutorFixture();
	const {clock, orders, createExecutor, assign} = world;
	const [first, second, third] = [createExecutor(), createExecutor(), createExecutor()];
	const target = createTargetRecord('target');
	const handovers = await releaseDuringRun(world, first.executor, '5000');
	assign(third.executor, target, 3);
	await advanceClock(clock, 5);
	for (const handover of handovers) {
		second.executor.receiveHandover(handover);
	}

	assign(second.executor, target, 2);
	await advanceClock(clock, 200);
	assert.deepEqual([second.executor.ownedTargets, second.reports.length], [0, 0]);
	await advanceClock(clock, 1200);
	assert.deepEqual([second.reports.map(({outcome}) => outcome.kind), orders.running(target.id)], [['gone'], []]);
});

// As above, with a target that never answers the second owner.
test('an adopted run on a silent target is reported gone only after its lease has expired', async () => {
	const world = createExecutorFixture();
	const {clock, orders, createExecutor, assign} = world;
	const [first, second] = [createExecutor(), createExecutor()];
	const target = createTargetRecord('target');
	const handovers = await releaseDuringRun(world, first.executor, '5000');
	orders.behaviour.set(target.id, 'silent');
	for (const handover of handovers) {
		second.executor.receiveHandover(handover);
	}

	assign(second.executor, target, 2);
	await advanceClock(clock, 900);
	assert.equal(second.reports.length, 0);
	await advanceClock(clock, 600);
	assert.deepEqual([second.reports.map(({outcome}) => outcome.kind), orders.running(target.id)], [['gone'], []]);
});
