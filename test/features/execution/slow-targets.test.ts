/** Targets that are slow, and targets that are faulty. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FencingToken} from '../../../src/base/fencing-token.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import {createExecutorFixture} from '../../support/create-executor-fixture.js';
import {advanceClock} from '../../support/advance-clock.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {createTargetRecord} from '../../support/create-target-record.js';

const entry = 'entry-1' as MemberId;
const target = 'target' as InstanceId;

/** Creates an owner of a target of the given slowdown, on which 40 runs have ended. */
async function ownerOfSlowTarget(learnsSpeeds: boolean, slowdown: number) {
	const world = createExecutorFixture();
	const owner = world.createExecutor(undefined, learnsSpeeds);
	world.assign(owner.executor, createTargetRecord(target), 1);
	world.orders.slowdown.set(target, slowdown);
	await advanceClock(world.clock, 20);
	for (let run = 0; run < 40; run += 1) {
		owner.executor.start(createRunRequest(`before-${run}`, '100'), entry);
		await advanceClock(world.clock, (100 * slowdown) + 20);
	}

	return {...world, ...owner};
}

// Runs on a target of two thirds of the normal speed that are a little longer than usual were stopped and repeated, which wastes
// their work and takes the target away for a second.
for (const learnsSpeeds of [true, false]) {
	test(`two runs that are twice as long as expected are ${learnsSpeeds ? 'not overdue' : 'overdue'} on a slow target ${learnsSpeeds ? 'whose speed is known' : 'otherwise'}`, async () => {
		const {executor, clock, orders, journal} = await ownerOfSlowTarget(learnsSpeeds, 1.43);
		for (const name of ['a', 'b']) {
			// The payload of 400 ms takes 572 ms on the target.
			executor.start({...createRunRequest(name, '400'), expectedMilliseconds: 190}, entry);
		}

		await advanceClock(clock, 460);
		// The end of a short run makes the target report while the others are running.
		executor.start({...createRunRequest('short', '20'), need: new Resources(1000, 64, 0)}, entry);
		await advanceClock(clock, 600);
		assert.equal(journal.named('targetOverdue').length, learnsSpeeds ? 0 : 1);
		assert.deepEqual(orders.running(target), []);
	});
}

// A stuck target must still be found. It must not become slow step by step, either: its runs would never be overdue.
test('runs on a slow target that hang are overdue', async () => {
	const {executor, clock, journal} = await ownerOfSlowTarget(true, 1.43);
	executor.start({...createRunRequest('a', '60000'), expectedMilliseconds: 100}, entry);
	executor.start({...createRunRequest('b', '60000'), expectedMilliseconds: 100}, entry);
	await advanceClock(clock, 1000);
	assert.equal(journal.named('targetOverdue').length, 1);
});

test('a target that stays slow is not slow by its health, and its published slowdown is what was learned', async () => {
	const {executor} = await ownerOfSlowTarget(true, 1.43);
	const [capacity] = executor.freeCapacity;
	assert.ok(Math.abs(capacity!.slowdown! - 1.43) < 0.1, `${capacity!.slowdown}`);
});

// A run that was adopted began before this entry knew of it: its time here says nothing about the target.
test('runs adopted from a former owner are no samples', async () => {
	const world = createExecutorFixture();
	const [former, next] = [world.createExecutor(undefined, true), world.createExecutor(undefined, true)];
	const record = createTargetRecord(target);
	world.assign(former.executor, record, 1);
	await advanceClock(world.clock, 20);
	for (const name of ['a', 'b']) {
		former.executor.start(createRunRequest(name, '500'), entry);
	}

	await advanceClock(world.clock, 400);
	const [handover] = await former.executor.release(new Set([target]));
	next.executor.receiveHandover(handover!);
	next.executor.assign(new Map([[target, {target: record, fence: 2 as FencingToken}]]));
	await advanceClock(world.clock, 300);
	assert.deepEqual(next.reports.map(({outcome}) => outcome.kind), ['done', 'done']);
	assert.equal(next.executor.freeCapacity[0]!.slowdown, undefined);
});
