/** What an entry does about its wishes when messages come late, or the arbiter changes. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {TicketId} from '../../../src/base/ticket-id.js';
import {NetworkSlotClient} from '../../../src/features/placement/network-slot-client.js';
import type {PlacementRequest} from '../../../src/features/placement/placement-request.js';
import {FakeClock} from '../../support/fake-clock.js';
import {FakeMembership} from '../../support/fake-membership.js';
import {RecordingJournal} from '../../support/recording-journal.js';
import {wantOf} from './arbiter-fixture.js';

const zone = 'zone-1' as AvailabilityZone;
const arbiter = 'entry-2#1' as MemberId;
const target = {id: 'target-1' as InstanceId, address: '127.0.0.1:1'};

function deskOf() {
	const clock = new FakeClock();
	const sent: Array<{readonly to: MemberId; readonly request: PlacementRequest}> = [];
	const desk = new NetworkSlotClient(new FakeMembership(FakeMembership.memberOf('entry-1'), clock), clock, new RecordingJournal(), {
		sendRequest(to, request) {
			sent.push({to, request});
		},
		queryArbiter() {
			// Nobody answers.
		},
	});
	const heard: string[] = [];
	const refusals: unknown[] = [];
	const listener = {
		onDidGrant(slot: {readonly ticket: TicketId}) {
			heard.push(`granted ${slot.ticket}`);
		},
		onDidRefuse(ticket: TicketId, refusal: {readonly cause: string}) {
			heard.push(`refused ${ticket} ${refusal.cause}`);
			refusals.push(refusal);
		},
	};
	const want = () => {
		desk.requestSlots(zone, wantOf('a', 1), clock.now() + 8000, listener);
	};

	const grant = (echo: number) => {
		desk.receive(arbiter, {kind: 'granted', echo, grants: [{ticket: 'a/0:0' as TicketId, target}]});
	};

	return {
		clock, desk, sent, heard, refusals, want, grant,
	};
}

test('a grant is used while it\'s fresh', () => {
	const {clock, desk, heard, want, grant} = deskOf();
	desk.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	grant(clock.now());
	assert.deepEqual(heard, ['granted a/0:0']);
});

test('a grant that waited while the entry was paused isn\'t used', () => {
	// The entry is stopped for three seconds with the grant in its socket. The arbiter has taken the slot for lost and lent
	// it to somebody else: starting the task now would put one too many on the target.
	const {clock, desk, sent, heard, want, grant} = deskOf();
	desk.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	const echo = clock.now();
	clock.sleep(3000);
	grant(echo);
	assert.deepEqual(heard, []);
	assert.deepEqual(sent.slice(-2).map(({request}) => request.kind), ['release', 'want']);
});

test('a new arbiter is told of everything that is open', () => {
	const {desk, sent, want} = deskOf();
	want();
	assert.equal(sent.length, 0);
	desk.setArbiter(zone, {member: arbiter, epoch: 2});
	assert.deepEqual(sent.map(({request}) => request.kind), ['renew', 'inventory']);
	desk.receive(arbiter, {kind: 'unknown', tickets: ['a/0:0' as TicketId]});
	const last = sent.at(-1)!.request;
	assert.ok(last.kind === 'want' && last.isAdmitted);
});

test('a refusal reaches the job as a reason and nothing else', () => {
	// An entry without targets refuses a job. The reply's own tag came along with the reason and replaced the verdict's:
	// the caller read that a task had failed, although nothing had run.
	const {desk, refusals, want} = deskOf();
	desk.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	desk.receive(arbiter, {
		kind: 'refused', tickets: ['a/0:0' as TicketId], cause: 'noTarget', detail: 'none', retryAfterMilliseconds: 1000,
	});
	assert.deepEqual(refusals, [{cause: 'noTarget', detail: 'none', retryAfterMilliseconds: 1000}]);
});

test('a grant for a withdrawn task goes straight back', () => {
	const {clock, desk, sent, heard, want, grant} = deskOf();
	desk.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	desk.withdraw(['a/0:0' as TicketId]);
	grant(clock.now());
	assert.deepEqual(heard, []);
	assert.deepEqual(sent.at(-1)!.request, {
		kind: 'release', ticket: 'a/0:0', outcome: 'unused', runMilliseconds: 0,
	});
});

test('without an arbiter a wish is refused before its deadline', () => {
	const {clock, desk, heard, want} = deskOf();
	want();
	clock.advance(6100);
	desk.tick();
	assert.deepEqual(heard, ['refused a/0:0 noTarget']);
});
