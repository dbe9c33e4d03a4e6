/** Targets that start again under their id, and know nothing of before. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FencingToken} from '../../../src/base/fencing-token.js';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
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

// A caller got no answer: a target was back under its id before its owner had asked it again, and a task was started there and
// ended. The owner's next renewal acknowledged the former life's ends up to a higher number, and the target forgot this one.
test('an end on a restarted target that its owner has not heard of yet is not lost', async () => {
	const world = executorWorld();
	const {executor, reports, target} = await ownerOfBusyTarget(world);
	world.orders.restart(target.id);
	await passTime(world.clock, 20);
	assert.equal(executor.start(requestOf('quick', '10'), entry), 'target');
	await passTime(world.clock, 200);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['quick done']);
});

// A target starts again while it goes from one owner to the next. The former owner's number of ends says nothing of the next
// life; taken over with the runs, it made the next owner wait for each end as above.
test('the next owner of a target that started again knows its ends at once', async () => {
	const world = executorWorld();
	const {executor, target} = await ownerOfBusyTarget(world);
	const next = world.executorOf();
	for (const handover of await executor.release(new Set([target.id]))) {
		next.executor.receiveHandover(handover);
	}

	await restart(world);
	world.assign(next.executor, target, 2);
	await passTime(world.clock, 20);
	assert.equal(next.executor.start(requestOf('short', '60'), entry), 'target');
	await passTime(world.clock, 80);
	assert.deepEqual(next.reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['short done']);
});

// A target starts again under its id as a smaller machine that starts whatever it's told to. Its entry in the list is still that
// of its former life, and filled by that it had more on it than it can bear.
test('a target that started again gets tasks once its own entry is there', async () => {
	const world = executorWorld();
	const {executor, target} = await ownerOfBusyTarget(world);
	world.assign(executor, {...target, incarnation: 1 as Incarnation}, 1);
	assert.equal(executor.start(requestOf('before', '10'), entry), 'target');
	await restart(world);
	assert.equal(executor.start(requestOf('early', '60'), entry), undefined);
	world.assign(executor, {...target, incarnation: 2 as Incarnation, capacity: new Resources(30_000, 1000, 0)}, 1);
	assert.equal(executor.start(requestOf('first', '60'), entry), 'target');
	assert.equal(executor.start(requestOf('second', '60'), entry), undefined);
});

// A target that fails all it starts is taken out, for two seconds and longer each time. It's restarted because of that, and its
// room stood idle although the fault was gone.
test('a target that was taken out gets tasks again when it has started again', async () => {
	const world = executorWorld();
	const {executor, reports, target} = await ownerOfBusyTarget(world);
	// A zone's only target is never taken out.
	const leaving = {...targetNamed('other'), isDraining: true};
	executor.assign(new Map([target, leaving].map(listed => [listed.id, {target: listed, fence: 1 as FencingToken}])));
	for (const job of ['a', 'b', 'c']) {
		executor.start(requestOf(`${job}.0.0.0`, 'fails'), entry);
		await passTime(world.clock, 30);
	}

	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['failed', 'failed', 'failed']);
	assert.equal(executor.start(requestOf('d.0.0.0', '60'), entry), undefined);
	await restart(world);
	assert.equal(executor.start(requestOf('d.0.0.0', '60'), entry), 'target');
});
