/** Timing and receivers of published states. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {heartbeats} from '../../../src/features/pool/heartbeats.js';
import {Epochs} from '../../../src/features/pool/epochs.js';
import {Outbox} from '../../../src/features/pool/outbox.js';
import {PeerContacts} from '../../../src/features/pool/peer-contacts.js';
import type {PoolMember} from '../../../src/features/pool/pool-member.js';
import {StateBroadcaster} from '../../../src/features/pool/state-broadcaster.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import type {PeerMessage} from '../../../src/runtime/peers/peer-message.js';
import {FakeClock} from '../../support/fake-clock.js';
import {InMemoryNetwork} from '../../support/in-memory-network.js';

const service = 'service' as ServiceName;
const need = new Resources(27_000, 64, 0);

/** Records when each peer is sent a state. */
class RecordingNetwork extends InMemoryNetwork {
	readonly sent: Array<{readonly at: number; readonly to: MemberId}> = [];

	override carry(...[, to]: [Member, MemberId, PeerMessage]): void {
		this.sent.push({at: this.clock.now(), to});
	}
}

function worldOf(count: number, activeCount: number) {
	const clock = new FakeClock();
	const network = new RecordingNetwork(clock);
	const startedAt = clock.now();
	const members: PoolMember[] = Array.from({length: count}, (_, index) => ({
		member: {
			id: `e-${index}` as MemberId, instance: `e-${index}` as InstanceId, zone: 'z' as AvailabilityZone, peerAddress: `10.0.0.${index}:1`,
		},
		heardAt: startedAt,
		sendTiming: index < activeCount ? heartbeats.active : heartbeats.idle,
		isMonitor: false,
		isMonitored: false,
		mesh: 'full',
		expectedTiming: index < activeCount ? heartbeats.active : heartbeats.idle,
		timingChangedAt: startedAt,
		isLeaving: false,
		routingVersion: 0,
		capacityUpdates: 0,
		demand: [{service, need}],
		freeCapacity: [],
	}));
	const world = {
		targets: 0, clock, network, members,
	};
	const broadcaster = new StateBroadcaster({
		members: () => members,
		ownState: () => ({
			isLeaving: false, routingVersion: 0, demand: [], freeCapacity: Array.from({length: world.targets}, () => ({service, labels: [], room: need})),
		}),
		mesh: () => 'full',
		largestFreeCpuMillis: () => need.cpuMillis,
		outbox: new Outbox({
			network: network.join('self', 'z'), channel: 'pool', epochs: new Epochs(), contacts: new PeerContacts(clock, {milliseconds: 0}), clock,
		}),
		clock,
	});
	const receiversWithin = (milliseconds: number) => {
		const from = network.sent.length;
		clock.advance(milliseconds);
		return network.sent.slice(from).map(({to}) => to);
	};

	return {world, broadcaster, receiversWithin};
}

// Guards against merging a broadcast to all peers, such as leaving, with a pending announcement that only active peers receive.
test('a broadcast is not merged with an announcement of demand', () => {
	const {broadcaster, receiversWithin} = worldOf(20, 4);
	broadcaster.announceDemand();
	broadcaster.broadcast();
	assert.equal(new Set(receiversWithin(30)).size, 20);
});

// Guards against new capacity that stays idle because other capacity has just been announced.
test('new capacity is announced within 5 ms, even right after another announcement', () => {
	const {world, broadcaster, receiversWithin} = worldOf(7, 7);
	world.targets = 3;
	broadcaster.announceCapacity();
	assert.equal(receiversWithin(1).length, 6);
	world.targets = 4;
	broadcaster.announceCapacity();
	assert.equal(receiversWithin(5).length, 7);
});

// Guards against repeated announcements to a peer whose task has already been placed.
test('a peer gets two capacity announcements for each time that it publishes demand', () => {
	const {world, broadcaster, receiversWithin} = worldOf(3, 3);
	for (const targets of [3, 6, 9]) {
		world.targets = targets;
		broadcaster.announceCapacity();
	}

	const first = receiversWithin(500).length;
	for (const member of world.members) {
		member.capacityUpdates = 0;
	}

	world.targets = 12;
	broadcaster.announceCapacity();
	assert.deepEqual({first, again: receiversWithin(500).length}, {first: 6, again: 6});
});
