/** Targets that start again under their id, and know nothing of before. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {executorWorld} from '../../support/executor-world.js';
import {passTime} from '../../support/pass-time.js';
import {requestOf} from '../../support/run-request-of.js';
import {targetNamed} from '../../support/target-named.js';

const entry = 'entry-1' as MemberId;
const downMilliseconds = 300;

type World = ReturnType<typeof executorWorld>;

/** An owner whose target has ended ten runs. */
async function ownerOfBusyTarget(world: World) {
	const {clock, executorOf, assign} = world;
	const owner = executorOf();
	const target = targetNamed('target');
	assign(owner.executor, target, 1);
	await passTime(clock, 20);
	for (let run = 0; run < 10; run += 1) {
		owner.executor.start(requestOf(`before-${run}`, '10'), entry);
		await passTime(clock, 30);
	}

	owner.reports.length = 0;
	return {...owner, target};
}

/** The target is down for a while, and starts again under its id. */
async function restart({clock, orders}: World) {
	const {id} = targetNamed('target');
	orders.restart(id);
	orders.behaviour.set(id, 'refuses');
	await passTime(clock, downMilliseconds);
	orders.behaviour.set(id, 'answers');
	await passTime(clock, 150);
}

// Callers waited half a second for the answers of tasks of 60 ms, on every target that had started again under its id. Such a
// target numbers its ends from one again, while its owner went on to acknowledge the number that it had reached with the
// former life: the target held each renewal back for its whole wait, since no end had a higher number.
test('ends on a target that started again under its id are known at once', async () => {
	const world = executorWorld();
	const {executor, reports} = await ownerOfBusyTarget(world);
	await restart(world);
	assert.equal(executor.start(requestOf('short', '60'), entry), 'target');
	await passTime(world.clock, 80);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['short done']);
});

// A job hung until its caller gave up: its task ran on a target that went down and was back under its id within the lease. The
// target's clock had started anew, so that its owner took all that it reported for older than the former life's last report,
// in which the task ran, and waited for an end that nobody could list any more.
test('what ran on a target before it started again is known to be gone once it reports', async () => {
	const world = executorWorld();
	const {executor, reports} = await ownerOfBusyTarget(world);
	executor.start(requestOf('long', '5000'), entry);
	await passTime(world.clock, 100);
	await restart(world);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['long gone']);
	assert.equal(world.journal.named('targetRestarted').length, 1);
});
