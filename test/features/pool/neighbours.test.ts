/** Which entries keep connections to each other. */
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

	return {neighbours, clock, choose: (met: Iterable<string> = []) => neighbours.choose(new Set(met))};
}

function inZone(addresses: Iterable<string>, zone: number): readonly string[] {
	return [...addresses].filter(address => address.startsWith(`10.${zone}.`));
}

test('a small fleet is connected as a whole', () => {
	assert.equal(neighboursOf(fleetOf(4, 3)).choose().size, 11);
});

// Each of 97 entries dialled, greeted and kept 96 connections, told all of them of itself, and dialled a cut zone's sixteen
// over and over: before the first job that took a tenth of a small machine.
test('in a large one an entry is connected to its zone and to a few of each other zone, however large it is', () => {
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

test('the choice doesn\'t change when an entry that isn\'t chosen comes or goes', () => {
	const {neighbours, choose} = neighboursOf(fleetOf(6, 16));
	const before = choose();
	const met = [...before];
	neighbours.add(entryOf(3, 40));
	const after = choose(met);
	assert.ok([...after].filter(address => !before.has(address)).length <= 1);
});

// A chosen machine is replaced at another address. Dialling the old one for ever would leave its zone out of sight.
test('one that doesn\'t answer gives way to another of its zone, and is tried again later', () => {
	const {clock, choose} = neighboursOf(fleetOf(6, 16));
	const first = inZone(choose(), 2);
	const met = [...choose()].filter(address => address !== first[0]);
	clock.advance(500);
	assert.deepEqual(inZone(choose(met), 2), first);
	clock.advance(700);
	const second = inZone(choose(met), 2);
	assert.deepEqual([second.length, second.includes(first[0]!), second.includes(first[1]!)], [2, false, true]);
	clock.advance(2100);
	assert.ok(inZone(choose(met), 2).includes(first[0]!));
});

// A zone is cut off for many seconds: sixteen dials every 0.1 s from each entry of the other zones take their processor,
// and as soon as the cut has healed each has to find the zone again.
test('while a zone is cut off no more than two of its entries are dialled at a time, and all in turn', () => {
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
