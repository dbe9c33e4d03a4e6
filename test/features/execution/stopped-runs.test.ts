/** Stops of runs, and how long a run goes on after its stop was requested. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const requester = 'entry-2' as MemberId;
const target = createTargetRecord('target');

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
