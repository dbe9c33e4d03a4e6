/** Heartbeats, capacity announcements and loss detection in a pool. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {decodeFrame} from '../../../src/features/pool/decode-frame.js';
import {Pool} from '../../../src/features/pool/pool.js';
import {PauseDetector} from '../../../src/runtime/pause-detector.js';
import type {PeerMessage} from '../../../src/runtime/peers/peer-message.js';
import {FakeClock} from '../../support/fake-clock.js';
import {InMemoryNetwork} from '../../support/in-memory-network.js';
import {advanceClock} from '../../support/advance-clock.js';
import {RecordingJournal} from '../../support/recording-journal.js';

/** Counts the messages of each entry by kind, and records the receivers of the first entry. */
class CountingNetwork extends InMemoryNetwork {
	readonly sent = new Map<string, number>();
	readonly received = new Set<MemberId>();

	override carry(...[from, to, message]: Parameters<InMemoryNetwork['carry']>): void {
		const key = `${from.instance}:${kindOf(message)}`;
		this.sent.set(key, (this.sent.get(key) ?? 0) + 1);
		if (from.instance === 'entry-0') {
			this.received.add(to);
		}

		super.carry(from, to, message);
	}
}

function kindOf({body}: PeerMessage): string {
	return decodeFrame(body).messages.map(({kind}) => kind).join('+');
}

const service = 'service' as ServiceName;
const need = new Resources(27_000, 64, 0);

/** Each entry has capacity for a task on the given number of targets, and has demand if `isWaiting`. */
function fleetOf(count: number, isWaiting: boolean, {targets = 4, zones = 1, inUse = new Set<MemberId>(), usesPeers = (_index: number): boolean => true} = {}) {
	const clock = new FakeClock();
	const network = new CountingNetwork(clock);
	const pools = Array.from({length: count}, (_, index) => new Pool({
		network: network.join(`entry-${index}`, `zone-${index % zones}`),
		largestFreeCpuMillis: () => Number.POSITIVE_INFINITY,
		ownState: () => ({
			isLeaving: false,
			routingVersion: 0,
			demand: isWaiting ? [{service, need}] : [],
			freeCapacity: Array.from({length: targets}, () => ({service, labels: [], room: need})),
		}),
		peersInUse: () => usesPeers(index) ? inUse : new Set(),
		pauses: new PauseDetector(clock),
		clock,
		journal: new RecordingJournal(),
	}));
	for (const pool of pools) {
		pool.start();
	}

	network.connect();
	return {clock, network, pools};
}

/** Returns how many states the first entry sends in a second. */
async function statesInSecond(fleet: ReturnType<typeof fleetOf>, announceChanges: boolean): Promise<number> {
	await advanceClock(fleet.clock, 1000);
	fleet.network.sent.clear();
	for (let tick = 0; tick < 100; tick += 1) {
		if (announceChanges) {
			fleet.pools[0]!.announceCapacity();
		}

		await advanceClock(fleet.clock, 10);
	}

	return fleet.network.sent.get('entry-0:state') ?? 0;
}

test('in a fleet of eight without load every entry sends five heartbeats a second', async () => {
	assert.equal(await statesInSecond(fleetOf(8, false), true), 35);
});

// Guards against announcements that grow with the square of the fleet's size while every entry has demand.
test('an entry of an overloaded fleet of forty sends at most twice as many states as in a fleet of eight', async () => {
	const few = await statesInSecond(fleetOf(8, true), true);
	const many = await statesInSecond(fleetOf(40, true), true);
	assert.deepEqual({few: few <= 7 * 55, many: many <= 2 * few}, {few: true, many: true});
});

// Guards against waiting entries that learn of free capacity only from heartbeats.
test('capacity is announced to all waiting entries in rotation', async () => {
	const fleet = fleetOf(29, true);
	await advanceClock(fleet.clock, 1000);
	fleet.network.received.clear();
	for (let change = 0; change < 4; change += 1) {
		fleet.pools[0]!.announceCapacity();
		await advanceClock(fleet.clock, 21);
	}

	assert.equal(fleet.network.received.size, 28);
});

// Guards against false losses due to the longer heartbeat periods of large fleets, and against late detection of real ones.
test('a large fleet loses no live entry and detects a disconnected one in time', async () => {
	const fleet = fleetOf(40, false);
	await advanceClock(fleet.clock, 1000);
	const lost: string[] = [];
	fleet.pools[0]!.onDidLoseMember(member => {
		lost.push(member);
	});
	await advanceClock(fleet.clock, 5000);
	assert.deepEqual(lost, []);
	fleet.network.isolate('entry-7', true);
	await advanceClock(fleet.clock, 1100);
	assert.deepEqual(lost, ['entry-7#1']);
});

// Guards against offering one target to many waiting entries, all but one of which would be refused.
test('one eligible target is announced to two waiting entries, and none to nobody', async () => {
	const one = await statesInSecond(fleetOf(29, true, {targets: 1}), true);
	const none = await statesInSecond(fleetOf(29, true, {targets: 0}), true);
	// Two of those that each of three monitors gets every 400 ms from 100 ms on, and one a second to the others.
	const heartbeats = (3 * 2) + 25;
	assert.deepEqual({one: one <= heartbeats + (2 * 55), none}, {one: true, none: heartbeats});
});

// Guards against frequent heartbeats between zones that send each other no tasks.
test('in a large fleet only peers in use and monitors get frequent heartbeats', async () => {
	const calm = await statesInSecond(fleetOf(40, false, {zones: 4}), false);
	const inUse = new Set(['entry-1#1', 'entry-2#1'] as MemberId[]);
	const used = await statesInSecond(fleetOf(40, false, {zones: 4, inUse}), false);
	const allActive = 39 * 5;
	assert.deepEqual({calm: calm < 0.5 * allActive, used: used > calm && used < 0.65 * allActive}, {calm: true, used: true}, `${calm}, ${used}`);
});

// Guards against late detection of the loss of an entry that has just become active: a resubmitted task would run twice.
test('in a large fleet the loss of a peer in use is detected within 800 ms, that of another one later', async () => {
	const inUse = new Set<MemberId>();
	const fleet = fleetOf(40, false, {zones: 4, inUse});
	await advanceClock(fleet.clock, 3000);
	const lost: string[] = [];
	fleet.pools[0]!.onDidLoseMember(member => {
		lost.push(member);
	});
	inUse.add('entry-1#1' as MemberId);
	fleet.network.isolate('entry-1', true);
	fleet.network.isolate('entry-2', true);
	await advanceClock(fleet.clock, 1000);
	assert.deepEqual(lost, ['entry-1#1']);
	await advanceClock(fleet.clock, 3000);
	assert.deepEqual(lost, ['entry-1#1', 'entry-2#1']);
});

// Guards against a partial connection failure that removes a reachable entry for long, or interrupts the runs of one in use.
test('an entry that only its monitors lose is restored by its next heartbeat, and one in use is never dropped on their report', async () => {
	const inUse = new Set(['entry-0#1', 'entry-7#1'] as MemberId[]);
	const fleet = fleetOf(40, false, {inUse, usesPeers: index => index === 0 || index === 7});
	await advanceClock(fleet.clock, 2000);
	const lost: string[] = [];
	fleet.pools[0]!.onDidLoseMember(member => {
		lost.push(member);
	});
	for (let entry = 1; entry < 40; entry += 1) {
		fleet.network.blockedLinks.add(`entry-7#1>entry-${entry}#1`);
	}

	await advanceClock(fleet.clock, 5000);
	assert.deepEqual(lost, []);
	inUse.delete('entry-7#1' as MemberId);
	await advanceClock(fleet.clock, 2000);
	assert.ok([...fleet.pools[0]!.members].some(({member}) => member.id === 'entry-7#1'));
});
