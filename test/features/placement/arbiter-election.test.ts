/** Tests that a zone has at most one arbiter at a time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ArbiterElection} from '../../../src/features/placement/arbiter-election.js';
import type {ElectionMessage} from '../../../src/features/placement/election-message.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import {FakeClock} from '../../support/fake-clock.js';
import {FakeMembership} from '../../support/fake-membership.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const peer = FakeMembership.createMember('entry-2');
const witness = FakeMembership.createMember('entry-3', 'zone-2');

function createElection(others: readonly Member[] = [peer, witness]) {
	const clock = new FakeClock();
	const membership = new FakeMembership(FakeMembership.createMember('entry-1'), clock);
	for (const member of others) {
		membership.add(member);
	}

	const sent: Array<{readonly to: Member; readonly message: ElectionMessage}> = [];
	const election = new ArbiterElection(membership, clock, new RecordingJournal(), (to, message) => {
		sent.push({to, message});
	});
	const run = (milliseconds: number) => {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
			clock.advance(100);
			election.tick();
		}
	};

	const announceHolder = (member: Member, epoch = 1) => {
		election.receive(member, {
			kind: 'holds', zone: member.zone, holder: member.id, epoch, stamp: 0,
		});
	};

	return {
		clock, membership, election, sent, run, announceHolder,
	};
}

test('an entry alone in its zone becomes the arbiter', () => {
	const {election, run} = createElection([]);
	run(500);
	assert.deepEqual([election.isArbiter, election.canGrant()], [true, true]);
});

test('a new entry queries the holder regardless of its rank, and a holder that contacts witnesses still announces itself in its zone', () => {
	// Guards against an entry that never learns of its zone's arbiter, because it missed the first announcement.
	const {sent, run} = createElection([peer]);
	run(300);
	assert.ok(sent.some(({to, message}) => to === peer && message.kind === 'who'));
	const holder = createElection([witness]);
	holder.run(500);
	holder.membership.add(peer);
	holder.membership.silence(peer);
	holder.run(6000);
	assert.ok(holder.sent.some(({to, message}) => to === peer && message.kind === 'holds'));
});

test('the next entry takes over once the holder is known to be dead', () => {
	const {membership, election, run, announceHolder} = createElection();
	announceHolder(peer);
	membership.remove(peer);
	election.memberLost({member: peer, manner: 'dead'});
	run(200);
	assert.ok(election.canGrant());
});

test('a silent holder is replaced only if a witness confirms the silence', () => {
	// Guards against two arbiters after the connection between two entries of a zone fails.
	const {clock, membership, election, sent, run, announceHolder} = createElection();
	announceHolder(peer);
	membership.silence(peer);
	run(3200);
	assert.ok(sent.some(({to, message}) => to === witness && message.kind === 'alive'));
	election.receive(witness, {kind: 'aliveReply', about: peer.id, heardAgoMilliseconds: 200});
	run(600);
	assert.equal(election.isArbiter, false);
	clock.advance(100);
	run(200);
	election.receive(witness, {kind: 'aliveReply', about: peer.id, heardAgoMilliseconds: 4000});
	run(1500);
	election.receive(witness, {kind: 'aliveReply', about: peer.id, heardAgoMilliseconds: 6000});
	run(1000);
	assert.equal(election.isArbiter, true);
});

test('a silent holder isn\'t replaced without a witness', () => {
	const {membership, election, run, announceHolder} = createElection([peer]);
	announceHolder(peer);
	membership.silence(peer);
	run(10_000);
	assert.equal(election.isArbiter, false);
});

test('a holder without answers from peers stops granting before another entry may take over', () => {
	const {membership, election, run} = createElection([peer]);
	membership.remove(peer);
	run(500);
	membership.add(peer);
	membership.silence(peer);
	assert.ok(election.canGrant());
	run(1700);
	assert.equal(election.canGrant(), false);
});

test('a holder keeps its role if its zone peer is silent but another zone answers', () => {
	const {clock, membership, election, run} = createElection();
	membership.remove(peer);
	run(500);
	membership.add(peer);
	membership.silence(peer);
	run(1700);
	election.receive(witness, {kind: 'heard', stamp: clock.now()});
	assert.ok(election.canGrant());
});

test('a paused holder detects the pause before its next grant and resigns', () => {
	// Guards against double allocation by an arbiter that was replaced while its process was paused.
	const {clock, election, run} = createElection([]);
	run(500);
	clock.sleep(5000);
	assert.equal(election.canGrant(), false);
	election.tick();
	assert.equal(election.isArbiter, false);
});

test('of two holders, the one with the higher epoch remains', () => {
	const {election, run, announceHolder} = createElection([]);
	run(500);
	announceHolder(peer, 7);
	assert.deepEqual([election.isArbiter, election.holder?.member], [false, peer.id]);
	announceHolder(FakeMembership.createMember('entry-4'), 3);
	assert.equal(election.holder?.member, peer.id);
});

test('a resigning holder hands its leases over to a successor and stops granting', () => {
	const {election, sent, run, membership} = createElection([]);
	run(500);
	membership.add(peer);
	assert.equal(election.resign([]), peer);
	assert.ok(sent.some(({message}) => message.kind === 'handover'));
	assert.equal(election.canGrant(), false);
});
