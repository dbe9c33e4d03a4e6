/** When states are told, and to whom. */
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
import type {PoolMember} from '../../../src/features/pool/pool-member.js';
import {StateBroadcaster} from '../../../src/features/pool/state-broadcaster.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import type {PeerMessage} from '../../../src/runtime/peers/peer-message.js';
import {FakeClock} from '../../support/fake-clock.js';
import {ModelNetwork} from '../../support/model-network.js';

const service = 'service' as ServiceName;
const need = new Resources(27_000, 64, 0);

/** Notes when each entry is told. */
class NotingNetwork extends ModelNetwork {
	readonly told: Array<{readonly at: number; readonly to: MemberId}> = [];

	override carry(...[, to]: [Member, MemberId, PeerMessage]): void {
		this.told.push({at: this.clock.now(), to});
	}
}

function worldOf(count: number, closeCount: number) {
	const clock = new FakeClock();
	const network = new NotingNetwork(clock);
	const begunAt = clock.now();
	const members: PoolMember[] = Array.from({length: count}, (_, index) => ({
		member: {
			id: `e-${index}` as MemberId, instance: `e-${index}` as InstanceId, zone: 'z' as AvailabilityZone, peerAddress: `10.0.0.${index}:1`,
		},
		heardAt: begunAt,
		sendTiming: index < closeCount ? heartbeats.active : heartbeats.idle,
		isMonitor: false,
		isMonitored: false,
		expectedTiming: index < closeCount ? heartbeats.active : heartbeats.idle,
		timingChangedAt: begunAt,
		isLeaving: false,
		routingVersion: 0,
		capacityUpdates: 0,
		demand: [{service, need}],
		freeCapacity: [],
	}));
	const world = {
		places: 0, clock, network, members,
	};
	const broadcaster = new StateBroadcaster({
		members: () => members,
		ownState: () => ({
			isLeaving: false, routingVersion: 0, demand: [], freeCapacity: Array.from({length: world.places}, () => ({service, labels: [], room: need})),
		}),
		outbox: new Outbox({
			network: network.join('self', 'z'), channel: 'pool', epochs: new Epochs(), clock,
		}),
		clock,
	});
	const toldWithin = (milliseconds: number) => {
		const from = network.told.length;
		clock.advance(milliseconds);
		return network.told.slice(from).map(({to}) => to);
	};

	return {world, broadcaster, toldWithin};
}

// An entry of a large fleet begins to wait, and a few milliseconds later is told to stop. That it leaves has to reach everybody:
// taken for the same as the message that it waits, it would reach only those that are close, and others go on sending it tasks.
test('what all have to know isn\'t taken for what only those that are close need', () => {
	const {broadcaster, toldWithin} = worldOf(20, 4);
	broadcaster.announceDemand();
	broadcaster.broadcast();
	assert.equal(new Set(toldWithin(30)).size, 20);
});

// In a burst places become free one after the other. Two entries were told of the first one and take it; the second one becomes
// free while the first would soon be told again, and stood idle until then.
test('new room is told within 5 ms, also while other room has just been told', () => {
	const {world, broadcaster, toldWithin} = worldOf(7, 7);
	world.places = 3;
	broadcaster.announceCapacity();
	assert.equal(toldWithin(1).length, 6);
	world.places = 4;
	broadcaster.announceCapacity();
	assert.equal(toldWithin(5).length, 7);
});

// A task waits for ten milliseconds and finds room; the entry that has more room went on telling until it heard again, a second
// later in a large fleet. At three quarters of the load that was a third of all messages.
test('an entry is told of room twice for each time that it says that tasks wait there', () => {
	const {world, broadcaster, toldWithin} = worldOf(3, 3);
	for (const places of [3, 6, 9]) {
		world.places = places;
		broadcaster.announceCapacity();
	}

	const first = toldWithin(500).length;
	for (const member of world.members) {
		member.capacityUpdates = 0;
	}

	world.places = 12;
	broadcaster.announceCapacity();
	assert.deepEqual({first, again: toldWithin(500).length}, {first: 6, again: 6});
});
