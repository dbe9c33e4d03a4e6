/** Tests of the limit that requesters set on a target's lease. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const gone = 'gone#1' as MemberId;
const alive = 'alive#1' as MemberId;
const target = createTargetRecord('target');

/** An owner of one target; `gone` is alive only at the time at which this returns. */
async function createOwner() {
	const fixture = createExecutorFixture();
	const {clock, orders} = fixture;
	let goneSince = Number.POSITIVE_INFINITY;
	const {executor} = fixture.createExecutor(requester => requester === gone ? Math.min(goneSince, clock.now()) : clock.now());
	fixture.assign(executor, target, 1);
	await advanceClock(clock, 20);
	goneSince = clock.now();
	const advance = async (milliseconds: number) => {
		await advanceClock(clock, milliseconds);
		return orders.running(target.id).map(task => task.split('.')[0]);
	};

	return {executor, orders, advance};
}

// Guards against an owner that renews the lease of a run whose requester is gone until it notices the loss.
test('a run ends on its target 1.1 s after the last contact with its requester, although nobody stops it', async () => {
	const {executor, advance} = await createOwner();
	executor.start(createRunRequest('orphan.0', '9000'), gone);
	assert.deepEqual(await advance(1000), ['orphan']);
	assert.deepEqual(await advance(150), []);
});

// Guards against an owner whose stop gets no answer, and whose target keeps the run as long as the requester is alive.
test('a run that nobody waits for ends 1.1 s later, although its stop gets no answer', async () => {
	const {executor, orders, advance} = await createOwner();
	executor.start(createRunRequest('abandoned.0', '9000'), alive);
	assert.deepEqual(await advance(2000), ['abandoned']);
	orders.lostStops.set(target.id, Number.POSITIVE_INFINITY);
	executor.stop('abandoned.0', 1, 'its job is over');
	assert.deepEqual(await advance(1000), ['abandoned']);
	assert.deepEqual(await advance(150), []);
});

// Guards against starting a task beside a run that limits the lease, so that both end before it is renewed.
test('a target whose lease is limited gets no new tasks until its lost requester\'s run has ended', async () => {
	const {executor, advance} = await createOwner();
	executor.start(createRunRequest('orphan.0', '9000'), gone);
	await advance(850);
	assert.equal(executor.start(createRunRequest('next.0', '200'), alive), undefined);
	executor.stopRunsOf(gone, 'requester lost');
	await advance(100);
	assert.equal(executor.start(createRunRequest('next.0', '200'), alive), target.id);
});

// Guards against starting a task that a requester asked for long ago and whose caller may have submitted it elsewhere.
test('no run is started for a requester that was silent for long', async () => {
	const {executor, advance} = await createOwner();
	await advance(850);
	assert.equal(executor.start(createRunRequest('late.0', '200'), gone), undefined);
	assert.equal(executor.start(createRunRequest('next.0', '200'), alive), target.id);
});

// Guards against starting a run with less lease than an idle target takes until its next renewal, so that it ends for nothing.
test('a run that is started for a requester whose messages are late goes on until its end', async () => {
	const fixture = createExecutorFixture();
	const {clock, orders} = fixture;
	const {executor} = fixture.createExecutor(() => clock.now() - 700);
	fixture.assign(executor, target, 1);
	const outcomes = new Set<string>();
	for (let task = 0; task < 20; task += 1) {
		await advanceClock(clock, 400 + (task * 35));
		const isStarted = executor.start(createRunRequest(`${task}.0`, '1000'), alive) !== undefined;
		await advanceClock(clock, 900);
		outcomes.add(isStarted && orders.running(target.id).length === 0 ? 'lapsed' : 'started or refused');
		await advanceClock(clock, 300);
	}

	assert.deepEqual([...outcomes], ['started or refused']);
});
