/** What entries tell each other, and to how many. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {decodeFrame} from '../../../src/features/pool/decode-frame.js';
import {Pool} from '../../../src/features/pool/pool.js';
import {PauseWatch} from '../../../src/runtime/pause-watch.js';
import type {PeerMessage} from '../../../src/runtime/peers/peer-message.js';
import {FakeClock} from '../../support/fake-clock.js';
import {ModelNetwork} from '../../support/model-network.js';
import {passTime} from '../../support/pass-time.js';
import {RecordingJournal} from '../../support/recording-journal.js';

/** Counts what each entry sends, and remembers who got anything from the first one. */
class CountingNetwork extends ModelNetwork {
	readonly sent = new Map<string, number>();
	readonly received = new Set<MemberId>();

	override carry(...[from, to, message]: Parameters<ModelNetwork['carry']>): void {
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

/** Each entry has room for a task on so many targets, and waits for room where `isWaiting`. */
function fleetOf(count: number, isWaiting: boolean, {places = 4, zones = 1, inUse = new Set<MemberId>(), isUser = (_index: number): boolean => true} = {}) {
	const clock = new FakeClock();
	const network = new CountingNetwork(clock);
	const pools = Array.from({length: count}, (_, index) => new Pool({
		network: network.join(`entry-${index}`, `zone-${index % zones}`),
		ownState: () => ({
			isLeaving: false,
			routingVersion: 0,
			demand: isWaiting ? [{service, need}] : [],
			freeCapacity: Array.from({length: places}, () => ({service, labels: [], room: need})),
		}),
		peersInUse: () => isUser(index) ? inUse : new Set(),
		pauses: new PauseWatch(clock),
		clock,
		journal: new RecordingJournal(),
	}));
	for (const pool of pools) {
		pool.start();
	}

	network.connect();
	return {clock, network, pools};
}

/** The states that the first entry sends in a second. */
async function statesInSecond(fleet: ReturnType<typeof fleetOf>, tellRoom: boolean): Promise<number> {
	await passTime(fleet.clock, 1000);
	fleet.network.sent.clear();
	for (let tick = 0; tick < 100; tick += 1) {
		if (tellRoom) {
			fleet.pools[0]!.announceCapacity();
		}

		await passTime(fleet.clock, 10);
	}

	return fleet.network.sent.get('entry-0:state') ?? 0;
}

test('a calm fleet of eight hears of every entry five times a second', async () => {
	assert.equal(await statesInSecond(fleetOf(8, false), true), 35);
});

// A fleet that has grown is overloaded, so that every entry has waiting tasks. Each tells each other one of every change of
// its room, up to fifty times a second; with 29 entries that's 2800 messages a second in and out of each, which takes a
// small machine half of its processor, and answers come late.
test('an overloaded fleet of forty sends each entry no more than twice what a fleet of eight sends', async () => {
	const few = await statesInSecond(fleetOf(8, true), true);
	const many = await statesInSecond(fleetOf(40, true), true);
	assert.deepEqual({few: few <= 7 * 55, many: many <= 2 * few}, {few: true, many: true});
});

// All entries wait, and a target becomes free: every one of them is told by its turn, so that none waits for a heartbeat
// each time.
test('every waiting entry is told of room by turns', async () => {
	const fleet = fleetOf(29, true);
	await passTime(fleet.clock, 1000);
	fleet.network.received.clear();
	for (let change = 0; change < 4; change += 1) {
		fleet.pools[0]!.announceCapacity();
		await passTime(fleet.clock, 21);
	}

	assert.equal(fleet.network.received.size, 28);
});

// Heartbeats of a large fleet come less often. An entry that sends nothing is still taken as lost after 800 ms, and one that
// only sends them as seldom as that isn't.
test('a large fleet loses nobody who lives, and notices a cut in time', async () => {
	const fleet = fleetOf(40, false);
	await passTime(fleet.clock, 1000);
	const lost: string[] = [];
	fleet.pools[0]!.onDidLoseMember(member => {
		lost.push(member);
	});
	await passTime(fleet.clock, 5000);
	assert.deepEqual(lost, []);
	fleet.network.isolate('entry-7', true);
	await passTime(fleet.clock, 1100);
	assert.deepEqual(lost, ['entry-7#1']);
});

// Under overload all entries wait, and hardly any target has room. Telling seven of them of one free place, fifty times a
// second, sends six of them a refusal each time; telling nobody of a full target costs nothing.
test('one free place is told to two that wait, and no room at all to nobody', async () => {
	const one = await statesInSecond(fleetOf(29, true, {places: 1}), true);
	const none = await statesInSecond(fleetOf(29, true, {places: 0}), true);
	// One in 400 ms to each of three watchers, one in a second to the others.
	const heartbeats = (3 * 3) + 25;
	assert.deepEqual({one: one <= heartbeats + (2 * 55), none}, {one: true, none: heartbeats});
});

// In a fleet of forty in four zones each entry would send and receive 200 heartbeats a second, most of them between zones
// and of no use: tasks go to entries of the own zone while these have room.
test('of a large fleet only the own zone and those in use are heard often', async () => {
	const calm = await statesInSecond(fleetOf(40, false, {zones: 4}), false);
	const inUse = new Set(['entry-1#1', 'entry-2#1'] as MemberId[]);
	const used = await statesInSecond(fleetOf(40, false, {zones: 4, inUse}), false);
	const ofAll = 39 * 5;
	assert.deepEqual({calm: calm < 0.5 * ofAll, used: used > calm && used < 0.65 * ofAll}, {calm: true, used: true}, `${calm}, ${used}`);
});

// An entry of another zone was heard a second ago and begins to run something for this one, then its machine stops. Its loss
// has to be known as soon as that of a near one, or its job's caller has submitted again while the task still runs.
test('the loss of an entry in use is noticed within 800 ms in a large fleet, that of another later', async () => {
	const inUse = new Set<MemberId>();
	const fleet = fleetOf(40, false, {zones: 4, inUse});
	await passTime(fleet.clock, 3000);
	const lost: string[] = [];
	fleet.pools[0]!.onDidLoseMember(member => {
		lost.push(member);
	});
	inUse.add('entry-1#1' as MemberId);
	fleet.network.isolate('entry-1', true);
	fleet.network.isolate('entry-2', true);
	await passTime(fleet.clock, 1000);
	assert.deepEqual(lost, ['entry-1#1']);
	await passTime(fleet.clock, 3000);
	assert.deepEqual(lost, ['entry-1#1', 'entry-2#1']);
});

// Some connections of an entry go silent while the others work. Those that watch over it miss it and tell the zone, which sends
// it nothing for a moment; whoever still hears it has it back with its next heartbeat, and whatever it runs goes on.
test('an entry that only its watchers miss is back within its heartbeat, and one in use is never dropped for their word', async () => {
	const inUse = new Set(['entry-0#1', 'entry-7#1'] as MemberId[]);
	const fleet = fleetOf(40, false, {inUse, isUser: index => index === 0 || index === 7});
	await passTime(fleet.clock, 2000);
	const lost: string[] = [];
	fleet.pools[0]!.onDidLoseMember(member => {
		lost.push(member);
	});
	for (let entry = 1; entry < 40; entry += 1) {
		fleet.network.cuts.add(`entry-7#1>entry-${entry}#1`);
	}

	await passTime(fleet.clock, 5000);
	assert.deepEqual(lost, []);
	inUse.delete('entry-7#1' as MemberId);
	await passTime(fleet.clock, 2000);
	assert.ok([...fleet.pools[0]!.members].some(({member}) => member.id === 'entry-7#1'));
});
