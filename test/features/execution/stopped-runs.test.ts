/** Stops of runs, and how long a run goes on after its stop was requested. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import type {TaskId} from '../../../src/base/task-id.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const requester = 'entry-2' as MemberId;
const target = createTargetRecord('target');

/** The longest time from a stop's request to the end of its run if all stops get lost: a lease on a slow clock, and a margin before. */
const longestRunAfterLostStops = 1200;

/** Creates an owner whose target runs tasks `a` and `b` for 5 s each, and has reported them. */
async function createOwnerWithRuns() {
	const fixture = createExecutorFixture();
	const owner = fixture.createExecutor();
	fixture.assign(owner.executor, target, 1);
	await advanceClock(fixture.clock, 20);
	owner.executor.start(createRunRequest('a', '5000'), requester);
	owner.executor.start(createRunRequest('b', '5000'), requester);
	await advanceClock(fixture.clock, 300);
	return {...fixture, ...owner};
}

/** Advances the clock until the task doesn't run any more, at most for 3 s, and returns how long that took. */
async function timeUntilEnd({clock, orders}: ReturnType<typeof createExecutorFixture>, task: string, onStep?: () => void): Promise<number> {
	const from = clock.now();
	while (orders.running(target.id).includes(task as TaskId) && clock.now() - from < 3000) {
		onStep?.();
		await advanceClock(clock, 5);
	}

	return clock.now() - from;
}

test('the lines of a stopped run name its requester and the time since the stop was requested', async () => {
	const {clock, orders, journal, executor} = await createOwnerWithRuns();
	orders.behaviour.set(target.id, 'silent');
	executor.stop('a', 1, 'requester lost');
	await advanceClock(clock, 100);
	orders.behaviour.set(target.id, 'answers');
	await advanceClock(clock, 300);
	assert.deepEqual(journal.named('runStopped').map(fields => fields.requester), [requester]);
	const [ended] = journal.named('runEnded');
	assert.equal(ended?.task, 'a');
	assert.ok(Number(ended.stopMilliseconds) >= 100 && Number(ended.stopMilliseconds) <= 400, `${ended.stopMilliseconds} ms`);
});

test('the line of a run that ends by itself has no time since a stop', async () => {
	const {clock, journal, executor} = await createOwnerWithRuns();
	executor.stop('b', 1, 'its job is over');
	await advanceClock(clock, 4900);
	assert.deepEqual(journal.named('runEnded').map(({task, outcome, stopMilliseconds}) => [task, outcome, stopMilliseconds === undefined]), [['b', 'gone', false], ['a', 'done', true]]);
});

// Guards against renewing the lease of a run whose stops get lost, while the target answers everything else.
test('a run whose stops all get lost ends with the lease it had', async () => {
	const owner = await createOwnerWithRuns();
	owner.orders.lostStops.set(target.id, Number.POSITIVE_INFINITY);
	owner.executor.stop('a', 1, 'requester lost');
	const milliseconds = await timeUntilEnd(owner, 'a');
	assert.ok(milliseconds <= longestRunAfterLostStops, `${milliseconds} ms`);
});

// Guards against starts that renew the lease of a run whose stops get lost: a lease applies to the whole target.
test('a run whose stops all get lost ends with its lease although its target has room for further tasks', async () => {
	const owner = await createOwnerWithRuns();
	owner.orders.lostStops.set(target.id, Number.POSITIVE_INFINITY);
	owner.executor.stop('a', 1, 'requester lost');
	let starts = 0;
	const milliseconds = await timeUntilEnd(owner, 'a', () => {
		starts += 1;
		owner.executor.start({...createRunRequest(`next-${starts}`, '10'), need: Resources.none}, requester);
	});
	assert.ok(milliseconds <= longestRunAfterLostStops, `${milliseconds} ms`);
});

// Guards against waiting for the limit of a lost stop before the next one is sent.
test('a run whose first three stops get lost is over in less than 0.5 s', async () => {
	const owner = await createOwnerWithRuns();
	owner.orders.lostStops.set(target.id, 3);
	owner.executor.stop('a', 1, 'requester lost');
	const milliseconds = await timeUntilEnd(owner, 'a');
	assert.ok(milliseconds < 500, `${milliseconds} ms`);
});

// Guards against cutting the other runs of a target for stops that are lost now and then.
test('other runs of a target go on while some stops get lost', async () => {
	const {clock, orders, executor, reports} = await createOwnerWithRuns();
	executor.stop('b', 1, 'its job is over');
	await advanceClock(clock, 100);
	for (let index = 0; index < 5; index += 1) {
		executor.start(createRunRequest(`stopped-${index}`, '5000'), requester);
		await advanceClock(clock, 30);
		orders.lostStops.set(target.id, 1 + (index % 3));
		executor.stop(`stopped-${index}`, 1, 'its job is over');
		await advanceClock(clock, 700);
	}

	await advanceClock(clock, 1000);
	assert.equal(reports.filter(({outcome}) => outcome.kind === 'gone' && outcome.cause === 'its job is over').length, 6);
	assert.deepEqual(reports.filter(({task}) => task === 'a').map(({outcome}) => outcome.kind), ['done']);
});

// Guards against giving up a lost stop at the release of its target: the run isn't handed over, and nobody else stops it soon.
test('a lost stop is repeated after its target was released', async () => {
	const owner = await createOwnerWithRuns();
	owner.orders.lostStops.set(target.id, 1);
	owner.executor.onWillRelease(({request}) => {
		owner.executor.stop(request.task, request.attempt, 'requester not responsive');
	});
	const handovers = await owner.executor.release(new Set([target.id]));
	assert.deepEqual(handovers.flatMap(({runs}) => runs), []);
	const milliseconds = await timeUntilEnd(owner, 'a');
	assert.ok(milliseconds < 500, `${milliseconds} ms`);
});

// Guards against a target that leaves the catalogue and runs on: its runs were neither stopped nor considered running.
test('a run on a target that left the catalogue counts as running until its lease has passed, and is stopped', async () => {
	const owner = await createOwnerWithRuns();
	const {executor, reports, clock} = owner;
	executor.assign(new Map());
	assert.deepEqual([executor.isRunning('a' as TaskId), [...executor.requesters()]], [true, [requester, requester]]);
	executor.stopRunsOf(requester, 'requester lost');
	const milliseconds = await timeUntilEnd(owner, 'a');
	assert.ok(milliseconds < 500, `${milliseconds} ms`);
	await advanceClock(clock, 1500);
	assert.deepEqual(reports.map(({task, outcome}) => [task, outcome.kind]), [['a', 'gone'], ['b', 'gone']]);
	assert.equal(executor.isRunning('a' as TaskId), false);
});
