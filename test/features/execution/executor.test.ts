/** Targets under one owner, and their change to another. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import type {Executor} from '../../../src/features/execution/executor.js';
import {executorWorld} from '../../support/executor-world.js';
import {passTime} from '../../support/pass-time.js';
import {requestOf} from '../../support/run-request-of.js';
import {targetNamed} from '../../support/target-named.js';

const entry = 'entry-1' as MemberId;

/** An owner starts a run on the target named `target`, and gives the target up 300 ms later. */
async function releaseDuringRun({clock, assign}: ReturnType<typeof executorWorld>, owner: Executor, payload: string) {
	const target = targetNamed('target');
	assign(owner, target, 1);
	await passTime(clock, 20);
	owner.start(requestOf('task', payload), entry);
	await passTime(clock, 300);
	return owner.release(new Set([target.id]));
}

test('two tasks of 27 cores fit into a target of 64, a third finds no room until one has ended', async () => {
	const {clock, executorOf, assign} = executorWorld();
	const {executor, reports} = executorOf();
	assign(executor, targetNamed('target'), 1);
	await passTime(clock, 20);
	assert.equal(executor.start(requestOf('a', '100'), entry), 'target');
	assert.equal(executor.start(requestOf('b', '300'), entry), 'target');
	assert.equal(executor.start(requestOf('c', '100'), entry), undefined);
	await passTime(clock, 120);
	assert.deepEqual(reports.map(({task, outcome}) => [task, outcome.kind]), [['a', 'done']]);
	assert.equal(executor.start(requestOf('c', '100'), entry), 'target');
});

// A caller's long task would be killed in the middle: its target keeps running only what holds a lease, which lasts a
// second. The owner has to renew it all the while.
test('a task that takes longer than a lease ends well', async () => {
	const {clock, executorOf, assign} = executorWorld();
	const {executor, reports} = executorOf();
	assign(executor, targetNamed('target'), 1);
	await passTime(clock, 20);
	executor.start(requestOf('long', '3600'), entry);
	await passTime(clock, 3700);
	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['done']);
});

// A caller would get no answer, or a task would run twice: a target does what it's told but its answer is lost, so that the
// owner can't know whether the task runs. It orders a stop until that's confirmed, and only then is the task free.
test('a start without an answer is stopped before the task is reported gone', async () => {
	const {clock, orders, executorOf, assign} = executorWorld();
	const {executor, reports} = executorOf();
	const target = targetNamed('target');
	assign(executor, target, 1);
	await passTime(clock, 700);
	orders.behaviour.set(target.id, 'loses answers');
	executor.start(requestOf('doubtful', '5000'), entry);
	await passTime(clock, 100);
	assert.deepEqual(orders.running(target.id), ['doubtful']);
	// The look for it has no answer either.
	await passTime(clock, 180);
	assert.deepEqual(orders.running(target.id), ['doubtful']);
	assert.equal(reports.length, 0);
	orders.behaviour.set(target.id, 'answers');
	await passTime(clock, 600);
	assert.deepEqual(orders.running(target.id), []);
	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['gone']);
});

// Answers of targets are lost on their way. A task that had been started was stopped again, since nobody knew of it, and begun
// elsewhere: a short one was late for certain, and its work thrown away.
test('a task whose start was carried out without an answer goes on where it is', async () => {
	const {clock, orders, executorOf, assign} = executorWorld();
	const {executor, reports} = executorOf();
	const target = targetNamed('target');
	assign(executor, target, 1);
	await passTime(clock, 20);
	orders.behaviour.set(target.id, 'loses start answers');
	executor.start(requestOf('lasts', '400'), entry);
	executor.start(requestOf('short', '60'), entry);
	await passTime(clock, 600);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['short done', 'lasts done']);
	assert.equal(orders.starts.length, 2);
});

// A target never gets one start in twenty-five: its task waits for the time limit, for the stop, and for a report that says
// that nothing runs there. With 150 ms for the first and a wait of 100 ms for the last, a task of 60 ms began elsewhere after
// 250 to 350 ms, twice its objective; a job of eight such tasks meets such a start one time in four.
test('a start that a target never got is known as such within a short task\'s time', async () => {
	const {clock, orders, executorOf, assign} = executorWorld();
	const {executor, reports} = executorOf();
	const target = targetNamed('target');
	assign(executor, target, 1);
	for (let run = 0; run < 25; run += 1) {
		executor.start(requestOf(`before-${run}`, '5'), entry);
		await passTime(clock, 30);
	}

	executor.start(requestOf('neighbour', '5000'), entry);
	await passTime(clock, 120);
	reports.length = 0;
	orders.behaviour.set(target.id, 'loses starts');
	executor.start(requestOf('lost', '5000'), entry);
	await passTime(clock, 60);
	assert.deepEqual(reports.map(({task, outcome}) => `${task} ${outcome.kind}`), ['lost gone']);
	assert.deepEqual(orders.running(target.id), ['neighbour']);
});

// A target goes silent with a task on it. Its lease can't be renewed any more, so that the task has ended when the lease
// has; before that it must not start elsewhere.
test('what runs on a silent target is reported gone only after its lease has passed', async () => {
	const {clock, orders, executorOf, assign} = executorWorld();
	const {executor, reports} = executorOf();
	const target = targetNamed('target');
	assign(executor, target, 1);
	await passTime(clock, 20);
	executor.start(requestOf('task', '5000'), entry);
	await passTime(clock, 100);
	orders.behaviour.set(target.id, 'silent');
	while (orders.running(target.id).length > 0) {
		assert.equal(reports.length, 0);
		await passTime(clock, 5);
	}

	await passTime(clock, 1400);
	assert.deepEqual(reports.map(({outcome}) => outcome.kind), ['gone']);
	assert.equal(executor.start(requestOf('next', '100'), entry), undefined);
});

// An entry leaves while its targets work. The next owner gets its word of them before it owns them, and goes on: no task is
// stopped or begun again.
test('tasks go on under the next owner of their target', async () => {
	const world = executorWorld();
	const {clock, orders, executorOf, assign} = world;
	const first = executorOf();
	const second = executorOf();
	const target = targetNamed('target');
	const handovers = await releaseDuringRun(world, first.executor, '1500');
	for (const handover of handovers) {
		second.executor.receiveHandover(handover);
	}

	await passTime(clock, 100);
	assign(second.executor, target, 2);
	await passTime(clock, 1500);
	assert.deepEqual(first.reports, []);
	assert.deepEqual(second.reports.map(({task, outcome}) => [task, outcome.kind]), [['task', 'done']]);
	assert.equal(orders.starts.length, 1);
});

// An owner dies; its tasks' jobs may be submitted again at once. The next owner finds them on the target, nobody hands them
// over, and it must not keep them alive.
test('tasks that nobody handed over are stopped, and room is given only after', async () => {
	const {clock, orders, executorOf, assign} = executorWorld();
	const first = executorOf();
	const second = executorOf();
	const target = targetNamed('target');
	assign(first.executor, target, 1);
	await passTime(clock, 20);
	first.executor.start(requestOf('orphan', '5000'), entry);
	await passTime(clock, 100);
	first.executor.dispose();
	assign(second.executor, target, 2);
	await passTime(clock, 100);
	assert.equal(second.executor.start(requestOf('next', '100'), entry), undefined);
	await passTime(clock, 400);
	assert.deepEqual(orders.running(target.id), []);
	await passTime(clock, 700);
	assert.equal(second.executor.start(requestOf('next', '100'), entry), target.id);
});

// An entry was paused, another owns its target meanwhile. When it wakes its orders carry a lower token: the target rejects
// them, and the entry must not order it again with that token.
test('a target that has met a newer owner is not ordered again with the old token', async () => {
	const {clock, journal, executorOf, assign} = executorWorld();
	const first = executorOf();
	const second = executorOf();
	const target = targetNamed('target');
	assign(first.executor, target, 1);
	await passTime(clock, 20);
	assign(second.executor, target, 2);
	await passTime(clock, 1000);
	assert.equal(first.executor.ownedTargets, 0);
	assign(first.executor, target, 1);
	assert.equal(first.executor.ownedTargets, 0);
	assert.equal(journal.named('sessionEnded').length, 1);
	assign(first.executor, target, 3);
	assert.equal(first.executor.ownedTargets, 1);
});

// A group is dealt anew several times within a second: a target goes from its first owner to a second one, and to a third
// before the second has renewed anything. The second one told at once that the run was gone, and its task was begun elsewhere
// while it went on under the first owner's lease.
test('a run that was adopted is reported gone only when the former owner\'s lease has passed as well', async () => {
	const world = executorWorld();
	const {clock, orders, executorOf, assign} = world;
	const [first, second, third] = [executorOf(), executorOf(), executorOf()];
	const target = targetNamed('target');
	const handovers = await releaseDuringRun(world, first.executor, '5000');
	assign(third.executor, target, 3);
	await passTime(clock, 5);
	for (const handover of handovers) {
		second.executor.receiveHandover(handover);
	}

	assign(second.executor, target, 2);
	await passTime(clock, 200);
	assert.deepEqual([second.executor.ownedTargets, second.reports.length], [0, 0]);
	await passTime(clock, 1200);
	assert.deepEqual([second.reports.map(({outcome}) => outcome.kind), orders.running(target.id)], [['gone'], []]);
});

// As above, but the target doesn't answer the second owner at all.
test('a run that was adopted on a silent target is reported gone only after its lease', async () => {
	const world = executorWorld();
	const {clock, orders, executorOf, assign} = world;
	const [first, second] = [executorOf(), executorOf()];
	const target = targetNamed('target');
	const handovers = await releaseDuringRun(world, first.executor, '5000');
	orders.behaviour.set(target.id, 'silent');
	for (const handover of handovers) {
		second.executor.receiveHandover(handover);
	}

	assign(second.executor, target, 2);
	await passTime(clock, 900);
	assert.equal(second.reports.length, 0);
	await passTime(clock, 600);
	assert.deepEqual([second.reports.map(({outcome}) => outcome.kind), orders.running(target.id)], [['gone'], []]);
});
