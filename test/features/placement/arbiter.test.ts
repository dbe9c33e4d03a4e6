/** Tests that the arbiter leases each slot at most once, even when messages or processes are lost. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {TaskId} from '../../../src/base/task-id.js';
import type {TicketId} from '../../../src/base/ticket-id.js';
import {ArbiterFixture, targetOf} from './arbiter-fixture.js';

const other = 'entry-2#1' as MemberId;

test('a target\'s slots aren\'t over-allocated across requesters', () => {
	const fixture = new ArbiterFixture();
	fixture.want('a', 3);
	fixture.want('b', 3, {}, other);
	assert.equal(fixture.granted.length, 4);
	fixture.release('a/0:0');
	assert.equal(fixture.granted.length, 5);
});

test('a task with a lost connection keeps its slot until the target reports its end', () => {
	// Guards against overloading a target whose task still runs after the connection was lost.
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('a', 2);
	fixture.release('a/0:0', 'lost');
	assert.equal(fixture.granted.length, 1);
	fixture.clock.advance(2000);
	fixture.arbiter.applyUsage('target-1' as InstanceId, {running: ['a/0' as TaskId], lagMilliseconds: 0});
	assert.equal(fixture.granted.length, 1);
	fixture.request({kind: 'renew', held: 0, waiting: 1});
	fixture.arbiter.applyUsage('target-1' as InstanceId, {running: [], lagMilliseconds: 0});
	assert.equal(fixture.granted.length, 2);
});

test('slots of a dead requester are freed when their leases expire', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('a', 1, {}, other);
	fixture.arbiter.removeRequester(other);
	fixture.want('b', 1);
	fixture.clock.advance(5000);
	fixture.request({kind: 'renew', held: 0, waiting: 1});
	fixture.arbiter.tick();
	assert.equal(fixture.granted.length, 1);
	fixture.clock.advance(2000);
	fixture.request({kind: 'renew', held: 0, waiting: 1});
	fixture.arbiter.tick();
	assert.equal(fixture.granted.length, 2);
});

test('a new arbiter doesn\'t grant slots that the previous one may have leased', () => {
	// Guards against allocating slots whose tasks were started under the previous arbiter.
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 3})]);
	fixture.arbiter.beginQuarantine();
	fixture.want('a', 3);
	assert.equal(fixture.granted.length, 0);
	fixture.arbiter.applyUsage('target-1' as InstanceId, {running: ['dead/0' as TaskId, 'dead/1' as TaskId], lagMilliseconds: 0});
	assert.equal(fixture.granted.length, 1);
	fixture.arbiter.applyUsage('target-1' as InstanceId, {running: [], lagMilliseconds: 0});
	assert.equal(fixture.granted.length, 3);
});

test('lost grants and releases are reconciled by an inventory', () => {
	// Guards against slots that stay leased forever after a grant or release was lost.
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('a', 1);
	fixture.clock.advance(2000);
	fixture.request({kind: 'renew', held: 0, waiting: 1});
	fixture.request({kind: 'renew', held: 0, waiting: 1});
	assert.ok(fixture.sent.some(({reply}) => reply.kind === 'recount'));
	fixture.request({kind: 'inventory', held: [], waiting: ['a/0:0' as TicketId]});
	assert.ok(fixture.sent.some(({reply}) => reply.kind === 'unknown'));
	fixture.want('a', 1, {isAdmitted: true});
	assert.equal(fixture.granted.length, 2);
});

test('a requester keeps the slots that it reports to a new arbiter', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.request({
		kind: 'inventory', held: [{
			ticket: 'a/0:0' as TicketId, target: 'target-1' as InstanceId, profile: 'flight-desk' as ProfileName, endsInMilliseconds: 3000,
		}], waiting: [],
	});
	fixture.want('b', 1);
	assert.equal(fixture.granted.length, 0);
	fixture.release('a/0:0');
	assert.equal(fixture.granted.length, 1);
});

test('a silent requester is granted no slots', () => {
	// Guards against a paused entry whose queued tasks block those of others.
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('busy', 1);
	fixture.want('a', 1, {}, other);
	fixture.clock.advance(1500);
	fixture.want('b', 1);
	fixture.arbiter.tick();
	fixture.release('busy/0:0');
	assert.deepEqual(fixture.granted.map(([ticket]) => ticket), ['busy/0:0', 'b/0:0']);
});

test('no slot is granted while granting isn\'t allowed', () => {
	const fixture = new ArbiterFixture();
	fixture.mayGrant = false;
	fixture.want('a', 1);
	assert.equal(fixture.granted.length, 0);
});

test('a leaving target receives no new tasks', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {state: 'leaving'}), targetOf('target-2')]);
	fixture.want('a', 2);
	assert.deepEqual(fixture.granted.map(([, target]) => target), ['target-2', 'target-2']);
});

test('a job that can never be placed is refused immediately, as a whole and with its cause', () => {
	const fixture = new ArbiterFixture();
	const tasks = [0, 5000].map((memoryMegabytes, index) => ({
		ticket: `a/${index}:0` as TicketId, memoryMegabytes, accelerators: 0, labels: [], avoided: [], excluded: [],
	}));
	fixture.want('a', 2, {tasks});
	assert.deepEqual(fixture.refusals.map(({cause, tickets, retryAfterMilliseconds}) => [cause, tickets.length, retryAfterMilliseconds]), [['neverPlaceable', 2, undefined]]);
	assert.equal(fixture.granted.length, 0);
});

test('a job that would miss its deadline is refused before any task runs, with a retry time', () => {
	// Guards against starting part of a job that can't complete in time.
	const fixture = new ArbiterFixture();
	fixture.want('a', 100);
	fixture.want('b', 2, {remainingMilliseconds: 1000});
	const [refusal] = fixture.refusals;
	assert.equal(refusal?.cause, 'deadlineUnreachable');
	assert.ok((refusal?.retryAfterMilliseconds ?? 0) > 0);
	assert.ok(fixture.granted.every(([ticket]) => ticket.startsWith('a/')));
});

test('a profile\'s limits apply to all its jobs together', () => {
	const fixture = new ArbiterFixture();
	fixture.want('a', 2, {limits: {tasksInFlight: 3}});
	fixture.want('b', 2, {limits: {tasksInFlight: 3}}, other);
	assert.deepEqual(fixture.refusals.map(({cause}) => cause), ['limitReached']);
});

test('a withdrawn task leaves the queue without a message to a target', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('a', 3);
	fixture.request({kind: 'withdraw', tickets: ['a/1:0' as TicketId]});
	fixture.release('a/0:0');
	assert.deepEqual(fixture.granted.map(([ticket]) => ticket), ['a/0:0', 'a/2:0']);
});

test('a queued task is refused as soon as its deadline passes', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('a', 1);
	fixture.want('b', 1, {remainingMilliseconds: 1000});
	fixture.clock.advance(900);
	fixture.request({kind: 'renew', held: 1, waiting: 1});
	fixture.clock.advance(100);
	fixture.arbiter.tick();
	assert.deepEqual(fixture.refusals.map(({cause, tickets}) => [cause, tickets[0]]), [['deadlineUnreachable', 'b/0:0']]);
});

test('a small job doesn\'t wait behind a large one', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('large', 20);
	fixture.want('small', 1, {}, other);
	fixture.release('large/0:0');
	assert.deepEqual(fixture.granted.map(([ticket]) => ticket), ['large/0:0', 'small/0:0']);
});

test('a profile keeps its share while another one is overloaded', () => {
	const fixture = new ArbiterFixture([targetOf('target-1', {slots: 1})]);
	fixture.want('flood', 20, {profile: 'match-desk' as ProfileName});
	fixture.want('calm', 4);
	for (let round = 0; round < 8; round++) {
		fixture.release(fixture.granted.at(-1)![0]);
	}

	assert.equal(fixture.granted.filter(([ticket]) => ticket.startsWith('calm')).length, 4);
});
