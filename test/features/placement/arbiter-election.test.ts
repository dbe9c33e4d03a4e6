/** One arbiter a zone at a time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ArbiterElection} from '../../../src/features/placement/arbiter-election.js';
import type {ElectionMessage} from '../../../src/features/placement/election-message.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import {FakeClock} from '../../support/fake-clock.js';
import {FakeMembership} from '../../support/fake-membership.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const peer = FakeMembership.memberOf('entry-2');
const witness = FakeMembership.memberOf('entry-3', 'zone-2');

function tenureOf(others: readonly Member[] = [peer, witness]) {
	const clock = new FakeClock();
	const membership = new FakeMembership(FakeMembership.memberOf('entry-1'), clock);
	for (const member of others) {
		membership.add(member);
	}

	const sent: Array<{readonly to: Member; readonly message: ElectionMessage}> = [];
	const tenure = new ArbiterElection(membership, clock, new RecordingJournal(), (to, message) => {
		sent.push({to, message});
	});
	const run = (milliseconds: number) => {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
			clock.advance(100);
			tenure.tick();
		}
	};

	const hearHolder = (member: Member, epoch = 1) => {
		tenure.receive(member, {
			kind: 'holds', zone: member.zone, holder: member.id, epoch, stamp: 0,
		});
	};

	return {
		clock, membership, tenure, sent, run, hearHolder,
	};
}

test('an entry alone in its zone takes the office', () => {
	const {tenure, run} = tenureOf([]);
	run(500);
	assert.deepEqual([tenure.isArbiter, tenure.canGrant()], [true, true]);
});

test('a newcomer asks for the holder, whatever its rank, and a holder that asks witnesses still tells its zone', () => {
	// A fleet of eight was not ready in one of fifteen starts: an entry met its zone's arbiter after the first announcement,
	// didn't ask since it wasn't first in rank, and each question to a witness put the next announcement off.
	const {sent, run} = tenureOf([peer]);
	run(300);
	assert.ok(sent.some(({to, message}) => to === peer && message.kind === 'who'));
	const holder = tenureOf([witness]);
	holder.run(500);
	holder.membership.add(peer);
	holder.membership.silence(peer);
	holder.run(6000);
	assert.ok(holder.sent.some(({to, message}) => to === peer && message.kind === 'holds'));
});

test('on proof of the holder\'s end the next one takes over', () => {
	const {membership, tenure, run, hearHolder} = tenureOf();
	hearHolder(peer);
	membership.remove(peer);
	tenure.memberLost({member: peer, manner: 'dead'});
	run(200);
	assert.ok(tenure.canGrant());
});

test('a silent holder is replaced only when a witness hears nothing of it either', () => {
	// The switch between two entries of a zone fails; the holder is alive and goes on lending slots.
	// A witness in another zone still hears of it: taking over would make two arbiters.
	const {clock, membership, tenure, sent, run, hearHolder} = tenureOf();
	hearHolder(peer);
	membership.silence(peer);
	run(3200);
	assert.ok(sent.some(({to, message}) => to === witness && message.kind === 'alive'));
	tenure.receive(witness, {kind: 'aliveReply', about: peer.id, heardAgoMilliseconds: 200});
	run(600);
	assert.equal(tenure.isArbiter, false);
	clock.advance(100);
	run(200);
	tenure.receive(witness, {kind: 'aliveReply', about: peer.id, heardAgoMilliseconds: 4000});
	run(1500);
	tenure.receive(witness, {kind: 'aliveReply', about: peer.id, heardAgoMilliseconds: 6000});
	run(1000);
	assert.equal(tenure.isArbiter, true);
});

test('without any witness a silent holder isn\'t replaced', () => {
	const {membership, tenure, run, hearHolder} = tenureOf([peer]);
	hearHolder(peer);
	membership.silence(peer);
	run(10_000);
	assert.equal(tenure.isArbiter, false);
});

test('a holder that nobody answers stops granting before anyone may take over', () => {
	const {membership, tenure, run} = tenureOf([peer]);
	membership.remove(peer);
	run(500);
	membership.add(peer);
	membership.silence(peer);
	assert.ok(tenure.canGrant());
	run(1700);
	assert.equal(tenure.canGrant(), false);
});

test('a holder goes on when its neighbour is silent but another zone answers', () => {
	const {clock, membership, tenure, run} = tenureOf();
	membership.remove(peer);
	run(500);
	membership.add(peer);
	membership.silence(peer);
	run(1700);
	tenure.receive(witness, {kind: 'heard', stamp: clock.now()});
	assert.ok(tenure.canGrant());
});

test('a paused holder finds out before it grants again, and gives the office up', () => {
	// The arbiter is stopped for five seconds; another takes the office and lends the same slots.
	const {clock, tenure, run} = tenureOf([]);
	run(500);
	clock.sleep(5000);
	assert.equal(tenure.canGrant(), false);
	tenure.tick();
	assert.equal(tenure.isArbiter, false);
});

test('of two holders the one with the later epoch stays', () => {
	const {tenure, run, hearHolder} = tenureOf([]);
	run(500);
	hearHolder(peer, 7);
	assert.deepEqual([tenure.isArbiter, tenure.holder?.member], [false, peer.id]);
	hearHolder(FakeMembership.memberOf('entry-4'), 3);
	assert.equal(tenure.holder?.member, peer.id);
});

test('a holder that leaves hands its slots to a successor and grants no more', () => {
	const {tenure, sent, run, membership} = tenureOf([]);
	run(500);
	membership.add(peer);
	assert.equal(tenure.resign([]), peer);
	assert.ok(sent.some(({message}) => message.kind === 'handover'));
	assert.equal(tenure.canGrant(), false);
});
