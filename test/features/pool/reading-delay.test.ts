/** Tests of the estimate of how late an entry reads its input. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {PeerContacts} from '../../../src/features/pool/peer-contacts.js';
import {ReadingDelay} from '../../../src/features/pool/reading-delay.js';
import {EntryClock} from '../../support/entry-clock.js';
import {FakeClock} from '../../support/fake-clock.js';

function createDelay() {
	const clusterClock = new FakeClock();
	const clock = new EntryClock(clusterClock);
	const delay = new ReadingDelay(clock);
	delay.start();
	const advance = (milliseconds: number) => {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += 5) {
			clusterClock.advance(5);
		}
	};

	advance(1000);
	return {clock, delay, advance};
}

// Guards against an entry that states no delay although its timers, and therefore its reads, are late.
test('the delay of reading is how late timers fire, and is forgotten after some timers in time', () => {
	const {clock, delay, advance} = createDelay();
	assert.equal(delay.milliseconds, 0);
	clock.slowDown(190);
	advance(1000);
	assert.equal(delay.milliseconds, 190);
	clock.slowDown(0);
	advance(1200);
	assert.equal(delay.milliseconds, 0);
});

// Guards against messages that are queued after a stall before the first timer fires, as if their sender had read everything.
test('a timer that is overdue counts', () => {
	const {clock, delay, advance} = createDelay();
	clock.slowDown(300);
	advance(350);
	assert.equal(delay.milliseconds >= 145, true, String(delay.milliseconds));
});

// Guards against peers that end the runs of a requester whose heartbeats are late, because its contacts count as even earlier.
test('the stated delay of reading leaves time for the next heartbeat', () => {
	const statedFor = (milliseconds: number) => new PeerContacts(new FakeClock(), {milliseconds}).readingDelayMilliseconds;
	assert.deepEqual([0, 100, 200, 230, 300, 350, 600].map(milliseconds => statedFor(milliseconds)), [0, 100, 200, 230, 100, 0, 0]);
});

// Guards against an owner that takes a message for a sign that the requester has read its callers' disconnects.
test('a contact counts as earlier by the delay with which the peer reads', () => {
	const clock = new FakeClock();
	const peer = 'peer#1' as MemberId;
	const contacts = new PeerContacts(clock, {milliseconds: 0});
	contacts.record(peer, clock.now());
	clock.advance(1000);
	contacts.record(peer, clock.now(), 0, 190);
	assert.equal(contacts.lastContact(peer), clock.now() - 190);
	clock.advance(100);
	contacts.record(peer, clock.now(), 0, 0);
	assert.equal(contacts.lastContact(peer), clock.now());
});
