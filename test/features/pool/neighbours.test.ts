/** Selection of the peers to connect to. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import {Neighbours} from '../../../src/features/pool/neighbours.js';
import {FakeClock} from '../../support/fake-clock.js';

function entryOf(zone: number, index: number) {
	return {address: `10.${zone}.0.${index + 1}:1`, zone: `z-${zone}` as AvailabilityZone};
}

function fleetOf(zones: number, inZone: number) {
	return Array.from({length: zones * inZone}, (_, index) => entryOf(index % zones, Math.floor(index / zones)));
}

function neighboursOf(fleet: ReturnType<typeof fleetOf>, self = fleet[0]!) {
	const clock = new FakeClock();
	const neighbours = new Neighbours({self, clock});
	for (const entry of fleet) {
		neighbours.add(entry);
	}

	return {neighbours, clock, choose: (connected: Iterable<string> = []) => neighbours.choose(new Set(connected))};
}

function inZone(addresses: Iterable<string>, zone: number): readonly string[] {
	return [...addresses].filter(address => address.startsWith(`10.${zone}.`));
}

test('a small fleet is fully connected', () => {
	assert.equal(neighboursOf(fleetOf(4, 3)).choose().size, 11);
});

// Guards against connections that grow with the square of the fleet's size.
test('in a large fleet an entry connects to its zone and to a few peers of each other zone', () => {
	const counts = [16, 50].map(inEachZone => {
		const fleet = fleetOf(6, inEachZone);
		const chosen = fleet.map(self => neighboursOf(fleet, self).choose());
		const isJoined = (from: number, to: number) => chosen[from]!.has(fleet[to]!.address) || chosen[to]!.has(fleet[from]!.address);
		const degrees = fleet.map((self, from) => fleet.filter((other, to) => other.zone !== self.zone && isJoined(from, to)).length);
		return {
			own: inZone(chosen[0]!, 0).length, mean: Math.round(degrees.reduce((sum, degree) => sum + degree, 0) / degrees.length), least: Math.min(...degrees) >= 10,
		};
	});
	assert.deepEqual(counts, [{own: 15, mean: 18, least: true}, {own: 49, mean: 20, least: true}]);
});

test('the selection changes by at most one peer when an entry is added', () => {
	const {neighbours, choose} = neighboursOf(fleetOf(6, 16));
	const before = choose();
	const connected = [...before];
	neighbours.add(entryOf(3, 40));
	const after = choose(connected);
	assert.ok([...after].filter(address => !before.has(address)).length <= 1);
});

// Guards against losing a zone by dialling the address of a replaced instance for ever.
test('an unresponsive peer is replaced by another one of its zone and retried later', () => {
	const {clock, choose} = neighboursOf(fleetOf(6, 16));
	const first = inZone(choose(), 2);
	const connected = [...choose()].filter(address => address !== first[0]);
	clock.advance(500);
	assert.deepEqual(inZone(choose(connected), 2), first);
	clock.advance(700);
	const second = inZone(choose(connected), 2);
	assert.deepEqual([second.length, second.includes(first[0]!), second.includes(first[1]!)], [2, false, true]);
	clock.advance(2100);
	assert.ok(inZone(choose(connected), 2).includes(first[0]!));
});

// Guards against dialling all peers of a partitioned zone at once, and against missing the end of the partition.
test('at most two peers of a partitioned zone are dialled at a time, in rotation', () => {
	const {clock, choose} = neighboursOf(fleetOf(6, 8));
	const others = [...choose()].filter(address => !address.startsWith('10.2.'));
	const tried = new Set<string>();
	for (let passed = 0; passed < 20_000; passed += 100) {
		const dialled = inZone(choose(others), 2);
		assert.ok(dialled.length <= 2);
		for (const address of dialled) {
			tried.add(address);
		}

		clock.advance(100);
	}

	assert.ok(tried.size >= 4, `${tried.size}`);
});

test('an address from the settings is dialled until its zone is known', () => {
	const {neighbours, choose} = neighboursOf(fleetOf(6, 16));
	neighbours.add({address: '10.9.0.1:1', zone: undefined});
	assert.ok(choose().has('10.9.0.1:1'));
	assert.ok(!neighbours.known.some(({address}) => address === '10.9.0.1:1'));
	neighbours.add({address: '10.9.0.1:1', zone: 'z-0' as AvailabilityZone});
	assert.ok(neighbours.known.some(({address}) => address === '10.9.0.1:1'));
});
