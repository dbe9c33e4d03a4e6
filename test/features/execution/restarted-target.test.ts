/** Targets that restart under their id and lose their state. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FencingToken} from '../../../src/base/fencing-token.js';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const entry = 'entry-1' as MemberId;
const downMilliseconds = 300;

type World = ReturnType<typeof createExecutorFixture>;

/** Creates an owner whose target has ended ten runs. */
async function ownerOfBusyTarget(world: World) {
	const {clock, createExecutor, assign} = world;
	const owner = createExecutor();
	const target = createTargetRecord('target');
	assign(owner.executor, target, 1);
	await advanceClock(clock, 20);
	for (let run = 0; run < 10; run += 1) {
		owner.executor.start(createRunRequest(`before-${run}`, '10'), entry);
		await advanceClock(clock, 30);
	}

	owner.reports.length = 0;
	return {...owner, target};
}

/** Stops the target for `downMilliseconds` and restarts it under its id. */
async function restart({clock, orders}: World) {
	const {id} = createTargetRecord('target');
	orders.restart(id);
	orders.behaviour.set(id, 'refuses');
	await advanceClock(clock, downMilliseconds);
	orders.behaviour.set(id, 'answers');
	await advanceClock(clock, 150);
}

// A restarted target numbers its ends from 1. Acknowledging the former incarnation's number would delay each end by the whole
// wait of a renewal.
test('ends on a target that restarted under its id are reported without delay', async () => {
	const world = createExecutorFixture();
	const {executor, reports} = await ownerOfBusyTarget(world);
	await restart(world);
	assert.equal(executor.start(createRunRequest('short', '60'), entry), 'target');
	await advanceClock(world.clock, 80);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['short done']);
});

// A restart resets the target's clock. Ordering its reports by clock alone would ignore them, and the former incarnation's runs
// would never end.
test('runs of a former incarnation are reported gone once the restarted target reports', async () => {
	const world = createExecutorFixture();
	const {executor, reports} = await ownerOfBusyTarget(world);
	executor.start(createRunRequest('long', '5000'), entry);
	await advanceClock(world.clock, 100);
	await restart(world);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['long gone']);
	assert.equal(world.journal.named('targetRestarted').length, 1);
});

// Acknowledging the former incarnation's number would make the restarted target discard an end that was never processed.
test('an end is not lost if the owner has not yet detected the restart', async () => {
	const world = createExecutorFixture();
	const {executor, reports, target} = await ownerOfBusyTarget(world);
	world.orders.restart(target.id);
	await advanceClock(world.clock, 20);
	assert.equal(executor.start(createRunRequest('quick', '10'), entry), 'target');
	await advanceClock(world.clock, 200);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['quick done']);
});

// The next owner must not use the former owner's acknowledgement for another incarnation.
test('ends on a target that restarted during a change of owner are reported without delay', async () => {
	const world = createExecutorFixture();
	const {executor, target} = await ownerOfBusyTarget(world);
	const next = world.createExecutor();
	for (const handover of await executor.release(new Set([target.id]))) {
		next.executor.receiveHandover(handover);
	}

	await restart(world);
	world.assign(next.executor, target, 2);
	await advanceClock(world.clock, 20);
	assert.equal(next.executor.start(createRunRequest('short', '60'), entry), 'target');
	await advanceClock(world.clock, 80);
	assert.deepEqual(next.reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['short done']);
});

// Guards against overloading a target that restarted with less capacity than its outdated record in the catalogue.
test('a restarted target gets tasks only once the catalogue has its new record', async () => {
	const world = createExecutorFixture();
	const {executor, target} = await ownerOfBusyTarget(world);
	world.assign(executor, {...target, incarnation: 1 as Incarnation}, 1);
	assert.equal(executor.start(createRunRequest('before', '10'), entry), 'target');
	await restart(world);
	assert.equal(executor.start(createRunRequest('early', '60'), entry), undefined);
	world.assign(executor, {...target, incarnation: 2 as Incarnation, capacity: new Resources(30_000, 1000, 0)}, 1);
	assert.equal(executor.start(createRunRequest('first', '60'), entry), 'target');
	assert.equal(executor.start(createRunRequest('second', '60'), entry), undefined);
});

// A restart may have fixed an ejected target, so its capacity must not stay unused until the ejection ends.
test('an ejected target gets tasks again after a restart', async () => {
	const world = createExecutorFixture();
	const {executor, reports, target} = await ownerOfBusyTarget(world);
	// The only target of a zone is never ejected.
	const leaving = {...createTargetRecord('other'), isDraining: true};
	executor.assign(new Map([target, leaving].map(listed => [listed.id, {target: listed, fence: 1 as FencingToken}])));
	for (const job of ['a', 'b', 'c']) {
		executor.start(createRunRequest(`${job}.0.0.0`, 'fails'), entry);
		await advanceClock(world.clock, 30);
	}

	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['failed', 'failed', 'failed']);
	assert.equal(executor.start(createRunRequest('d.0.0.0', '60'), entry), undefined);
	await restart(world);
	assert.equal(executor.start(createRunRequest('d.0.0.0', '60'), entry), 'target');
});
