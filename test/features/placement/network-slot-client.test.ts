/** Tests the handling of slot requests when messages are late or the arbiter changes. */
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

function createClient() {
	const clock = new FakeClock();
	const sent: Array<{readonly to: MemberId; readonly request: PlacementRequest}> = [];
	const client = new NetworkSlotClient(new FakeMembership(FakeMembership.createMember('entry-1'), clock), clock, new RecordingJournal(), {
		sendRequest(to, request) {
			sent.push({to, request});
		},
		queryArbiter() {
			// No entry replies.
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
		client.requestSlots(zone, wantOf('a', 1), clock.now() + 8000, listener);
	};

	const grant = (echo: number) => {
		client.receive(arbiter, {kind: 'granted', echo, grants: [{ticket: 'a/0:0' as TicketId, target}]});
	};

	return {
		clock, client, sent, heard, refusals, want, grant,
	};
}

test('a recent grant is used', () => {
	const {clock, client, heard, want, grant} = createClient();
	client.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	grant(clock.now());
	assert.deepEqual(heard, ['granted a/0:0']);
});

test('a grant that was delayed by a pause of the entry isn\'t used', () => {
	// Guards against using a slot that the arbiter leased to another entry while this one was paused.
	const {clock, client, sent, heard, want, grant} = createClient();
	client.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	const echo = clock.now();
	clock.sleep(3000);
	grant(echo);
	assert.deepEqual(heard, []);
	assert.deepEqual(sent.slice(-2).map(({request}) => request.kind), ['release', 'want']);
});

test('a new arbiter is sent all pending requests', () => {
	const {client, sent, want} = createClient();
	want();
	assert.equal(sent.length, 0);
	client.setArbiter(zone, {member: arbiter, epoch: 2});
	assert.deepEqual(sent.map(({request}) => request.kind), ['renew', 'inventory']);
	client.receive(arbiter, {kind: 'unknown', tickets: ['a/0:0' as TicketId]});
	const last = sent.at(-1)!.request;
	assert.ok(last.kind === 'want' && last.isAdmitted);
});

test('a refusal passes only its reason to the job', () => {
	// Guards against the reply's `kind` replacing that of the verdict, which reports a refused job as failed.
	const {client, refusals, want} = createClient();
	client.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	client.receive(arbiter, {
		kind: 'refused', tickets: ['a/0:0' as TicketId], cause: 'noTarget', detail: 'none', retryAfterMilliseconds: 1000,
	});
	assert.deepEqual(refusals, [{cause: 'noTarget', detail: 'none', retryAfterMilliseconds: 1000}]);
});

test('a grant for a withdrawn task is released immediately', () => {
	const {clock, client, sent, heard, want, grant} = createClient();
	client.setArbiter(zone, {member: arbiter, epoch: 1});
	want();
	client.withdraw(['a/0:0' as TicketId]);
	grant(clock.now());
	assert.deepEqual(heard, []);
	assert.deepEqual(sent.at(-1)!.request, {
		kind: 'release', ticket: 'a/0:0', outcome: 'unused', runMilliseconds: 0,
	});
});

test('a request without a known arbiter is refused before its deadline', () => {
	const {clock, client, heard, want} = createClient();
	want();
	clock.advance(6100);
	client.tick();
	assert.deepEqual(heard, ['refused a/0:0 noTarget']);
});
