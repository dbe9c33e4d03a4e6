/** The arbiter lends each slot once, whatever is lost. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {TaskId} from '../../../src/base/task-id.js';
import type {TicketId} from '../../../src/base/ticket-id.js';
import {ArbiterFixture, targetOf} from './arbiter-fixture.js';

const other = 'entry-2#1' as MemberId;

test('no more than a target\'s slots are lent, whoever asks', () => {
	const world = new ArbiterFixture();
	world.want('a', 3);
	world.want('b', 3, {}, other);
	assert.equal(world.granted.length, 4);
	world.release('a/0:0');
	assert.equal(world.granted.length, 5);
});

test('a task whose connection broke keeps its slot until the target says that it ended', () => {
	// The connection to a target breaks in the middle of a task, which goes on running there.
	// Lending the slot again would put a ninth task on a target of eight slots.
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('a', 2);
	world.release('a/0:0', 'lost');
	assert.equal(world.granted.length, 1);
	world.clock.advance(2000);
	world.arbiter.applyUsage('target-1' as InstanceId, {running: ['a/0' as TaskId], lagMilliseconds: 0});
	assert.equal(world.granted.length, 1);
	world.request({kind: 'renew', held: 0, waiting: 1});
	world.arbiter.applyUsage('target-1' as InstanceId, {running: [], lagMilliseconds: 0});
	assert.equal(world.granted.length, 2);
});

test('slots of a dead requester come back with their leases at the latest', () => {
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('a', 1, {}, other);
	world.arbiter.removeRequester(other);
	world.want('b', 1);
	world.clock.advance(5000);
	world.request({kind: 'renew', held: 0, waiting: 1});
	world.arbiter.tick();
	assert.equal(world.granted.length, 1);
	world.clock.advance(2000);
	world.request({kind: 'renew', held: 0, waiting: 1});
	world.arbiter.tick();
	assert.equal(world.granted.length, 2);
});

test('a new arbiter lends nothing that the former one may have lent', () => {
	// The arbiter dies with tasks running that nobody else knows of.
	// Its successor takes all slots for taken until the target, or a survivor, says what runs.
	const world = new ArbiterFixture([targetOf('target-1', {slots: 3})]);
	world.arbiter.beginQuarantine();
	world.want('a', 3);
	assert.equal(world.granted.length, 0);
	world.arbiter.applyUsage('target-1' as InstanceId, {running: ['dead/0' as TaskId, 'dead/1' as TaskId], lagMilliseconds: 0});
	assert.equal(world.granted.length, 1);
	world.arbiter.applyUsage('target-1' as InstanceId, {running: [], lagMilliseconds: 0});
	assert.equal(world.granted.length, 3);
});

test('a lost grant and a lost release are settled by counting again', () => {
	// The arbiter lent a slot and the message was lost; the requester still waits, and the slot would be gone for good.
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('a', 1);
	world.clock.advance(2000);
	world.request({kind: 'renew', held: 0, waiting: 1});
	world.request({kind: 'renew', held: 0, waiting: 1});
	assert.ok(world.sent.some(({reply}) => reply.kind === 'recount'));
	world.request({kind: 'inventory', held: [], waiting: ['a/0:0' as TicketId]});
	assert.ok(world.sent.some(({reply}) => reply.kind === 'unknown'));
	world.want('a', 1, {isAdmitted: true});
	assert.equal(world.granted.length, 2);
});

test('slots that a survivor names to a new arbiter stay its own', () => {
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.request({
		kind: 'inventory', held: [{
			ticket: 'a/0:0' as TicketId, target: 'target-1' as InstanceId, profile: 'flight-desk' as ProfileName, endsInMilliseconds: 3000,
		}], waiting: [],
	});
	world.want('b', 1);
	assert.equal(world.granted.length, 0);
	world.release('a/0:0');
	assert.equal(world.granted.length, 1);
});

test('a requester that isn\'t heard gets no slot: others need them', () => {
	// An entry is paused while its tasks wait. Slots that are lent to it would be idle, and its tasks, which came first,
	// would hold up everyone else's.
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('busy', 1);
	world.want('a', 1, {}, other);
	world.clock.advance(1500);
	world.want('b', 1);
	world.arbiter.tick();
	world.release('busy/0:0');
	assert.deepEqual(world.granted.map(([ticket]) => ticket), ['busy/0:0', 'b/0:0']);
});

test('without the right to grant nothing is lent', () => {
	const world = new ArbiterFixture();
	world.mayGrant = false;
	world.want('a', 1);
	assert.equal(world.granted.length, 0);
});

test('a leaving target gets no new task', () => {
	const world = new ArbiterFixture([targetOf('target-1', {state: 'leaving'}), targetOf('target-2')]);
	world.want('a', 2);
	assert.deepEqual(world.granted.map(([, target]) => target), ['target-2', 'target-2']);
});

test('what can never run is refused at once, whole, with its reason', () => {
	const world = new ArbiterFixture();
	const tasks = [0, 5000].map((memoryMegabytes, index) => ({
		ticket: `a/${index}:0` as TicketId, memoryMegabytes, accelerators: 0, labels: [], avoided: [], excluded: [],
	}));
	world.want('a', 2, {tasks});
	assert.deepEqual(world.refusals.map(({cause, tickets, retryAfterMilliseconds}) => [cause, tickets.length, retryAfterMilliseconds]), [['neverPlaceable', 2, undefined]]);
	assert.equal(world.granted.length, 0);
});

test('what would miss its deadline is refused before anything of it runs, and told when to come back', () => {
	// A burst fills the queue for longer than a new job's deadline; running a part of it would be wasted.
	const world = new ArbiterFixture();
	world.want('a', 100);
	world.want('b', 2, {remainingMilliseconds: 1000});
	const [refusal] = world.refusals;
	assert.equal(refusal?.cause, 'deadlineUnreachable');
	assert.ok((refusal?.retryAfterMilliseconds ?? 0) > 0);
	assert.ok(world.granted.every(([ticket]) => ticket.startsWith('a/')));
});

test('a profile\'s limits hold for all its jobs together', () => {
	const world = new ArbiterFixture();
	world.want('a', 2, {limits: {tasksInFlight: 3}});
	world.want('b', 2, {limits: {tasksInFlight: 3}}, other);
	assert.deepEqual(world.refusals.map(({cause}) => cause), ['limitReached']);
});

test('a withdrawn task leaves the queue without a message to a target', () => {
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('a', 3);
	world.request({kind: 'withdraw', tickets: ['a/1:0' as TicketId]});
	world.release('a/0:0');
	assert.deepEqual(world.granted.map(([ticket]) => ticket), ['a/0:0', 'a/2:0']);
});

test('a task whose deadline passes while it waits gets its answer then, not later', () => {
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('a', 1);
	world.want('b', 1, {remainingMilliseconds: 1000});
	world.clock.advance(900);
	world.request({kind: 'renew', held: 1, waiting: 1});
	world.clock.advance(100);
	world.arbiter.tick();
	assert.deepEqual(world.refusals.map(({cause, tickets}) => [cause, tickets[0]]), [['deadlineUnreachable', 'b/0:0']]);
});

test('a small job doesn\'t wait behind a large one', () => {
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('large', 20);
	world.want('small', 1, {}, other);
	world.release('large/0:0');
	assert.deepEqual(world.granted.map(([ticket]) => ticket), ['large/0:0', 'small/0:0']);
});

test('a flood of one profile leaves the other its share', () => {
	const world = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	world.want('flood', 20, {profile: 'match-desk' as ProfileName});
	world.want('calm', 4);
	for (let round = 0; round < 8; round++) {
		world.release(world.granted.at(-1)![0]);
	}

	assert.equal(world.granted.filter(([ticket]) => ticket.startsWith('calm')).length, 4);
});
