/** Replication of the target list from a few readers per zone. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {fullMeshLimit} from '../../../src/features/pool/full-mesh-limit.js';
import {TargetListCluster} from '../../support/target-list-cluster.js';

/** Entries must learn within this time that a target is draining. */
const drainMilliseconds = 2000;
const born = 1_700_000_000_000;
const readersPerZone = 3;

type TargetFields = {readonly state?: string; readonly seq?: number; readonly born?: number; readonly addr?: string};

function targetOf({state = 'ready', seq = 1, born: bornAt = born, addr = '10.0.1.1:1'}: TargetFields = {}): string {
	return `{"service":"s","addr":"${addr}","zone":"z","state":"${state}","born":${bornAt},"seq":${seq},"capacity":{"cpu":64000,"mem_mb":1000,"gpu":0},"labels":["a"]}`;
}

function named(zone: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `${zone}-${index}`);
}

/** A fleet whose entries have the list; targets `t-0` to `t-4` write every half second. */
async function worldOf(context: TestContext, names = named('z', 20)) {
	const world = new TargetListCluster(names);
	let seq = 1;
	const writeAll = () => {
		for (let index = 0; index < 5; index += 1) {
			world.store.put(`t-${index}`, targetOf({seq}));
		}

		seq += 1;
	};

	writeAll();
	await world.start();
	const pass = async (milliseconds: number) => {
		for (let passed = 0; passed < milliseconds; passed += 500) {
			writeAll();
			await world.advance(Math.min(500, milliseconds - passed));
		}
	};

	await pass(2000);
	context.after(() => {
		world.dispose();
	});
	world.takeReaders();
	return {world, pass};
}

test('in a zone of a large fleet three entries read, and the others learn of each change in time', async context => {
	const {world, pass} = await worldOf(context);
	world.store.put('leaving', targetOf());
	await pass(1500);
	assert.deepEqual(world.entriesNotInState('leaving', 'ready'), []);
	world.store.put('leaving', targetOf({state: 'draining', seq: 2}));
	await pass(1500);
	assert.deepEqual(world.entriesNotInState('leaving', 'draining'), []);
	assert.equal(world.takeReaders().length, readersPerZone);
});

test('the entries of a small fleet read for themselves', async context => {
	const {world, pass} = await worldOf(context, named('z', fullMeshLimit + 1));
	await pass(1000);
	assert.equal(world.takeReaders().length, fullMeshLimit + 1);
	assert.deepEqual(world.journal.named('listOriginChanged'), []);
});

// Guards against crashed readers whose followers go on sending tasks to a draining target.
test('a draining target is known in time although all readers crash at the same moment', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	for (const name of world.takeReaders()) {
		world.kill(name);
	}

	world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.entriesNotInState('t-9', 'draining'), []);
	await pass(4000);
	world.takeReaders();
	await pass(2000);
	assert.equal(world.takeReaders().length, readersPerZone, 'other entries must have become readers');
});

// Guards against a failed read from the store right after the loss of the readers.
test('a draining target is known in time although readers crash and one read of each entry fails', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	for (const name of world.takeReaders()) {
		world.kill(name);
	}

	for (const name of world.entries.keys()) {
		world.store.remainingFailures.set(name, 1);
	}

	world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.entriesNotInState('t-9', 'draining'), []);
});

// Guards against stalled or suspended readers that keep others from reading, or send outdated data as new.
for (const countsPause of [true, false]) {
	test(`a draining target is known in time although readers ${countsPause ? 'stall' : 'are suspended'}`, async context => {
		const {world, pass} = await worldOf(context);
		await pass(1000);
		const readers = world.takeReaders();
		for (const name of readers) {
			world.entries.get(name)!.clock.pause();
		}

		world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
		await pass(drainMilliseconds - 500);
		assert.deepEqual(world.entriesNotInState('t-9', 'draining').filter(name => !readers.includes(name)), []);
		await pass(3000);
		world.store.put('t-9', targetOf({state: 'ready', seq: 1, born: born + 1}));
		await pass(1500);
		for (const name of readers) {
			world.entries.get(name)!.clock.resume({first: 'network', countsPause, socketOrder: 0});
		}

		for (let passed = 0; passed < 3000; passed += 100) {
			await world.advance(100);
			assert.deepEqual(world.entriesNotInState('t-9', 'ready').filter(name => !readers.includes(name)), [], 'outdated data must have no effect');
		}

		assert.deepEqual(world.entriesNotInState('t-9', 'ready'), []);
	});
}

// Guards against readers that are still connected to their followers, but not to the store.
test('a draining target is known in time although the readers are disconnected from the store', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	const readers = world.takeReaders();
	for (const name of readers) {
		world.store.unreachableEntries.add(name);
	}

	world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.entriesNotInState('t-9', 'draining').filter(name => !readers.includes(name)), []);
});

// Guards against answers that were delayed in the network and arrive after newer ones.
test('an answer that is seconds late has no effect', async context => {
	const {world, pass} = await worldOf(context);
	world.store.put('t-9', targetOf({seq: 1}));
	await pass(1000);
	const readers = world.takeReaders();
	for (const reader of readers) {
		for (const name of world.entries.keys()) {
			world.network.linkDelays.set(`${reader}#1>${name}#1`, 4000);
		}
	}

	await pass(500);
	world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.entriesNotInState('t-9', 'draining'), []);
	world.store.put('t-9', targetOf({seq: 1, born: born + 1}));
	await pass(1500);
	for (let passed = 0; passed < 5000; passed += 100) {
		await world.advance(100);
		assert.deepEqual(world.entriesNotInState('t-9', 'ready'), []);
	}
});

for (const half of [0, 1]) {
	// Guards against entries with different views of the fleet, which select different readers.
	test(`entries that disagree about the readers all get the list, half ${half}`, async context => {
		const {world, pass} = await worldOf(context);
		await pass(1000);
		const readers = world.takeReaders();
		const [first, second] = readers;
		const disconnected = [...world.entries.keys()].filter(name => !readers.includes(name)).filter((_, index) => index % 2 === half);
		for (const name of disconnected) {
			for (const reader of [first, second]) {
				world.network.blockedLinks.add(`${reader}#1>${name}#1`);
				world.network.blockedLinks.add(`${name}#1>${reader}#1`);
			}
		}

		await pass(5000);
		world.takeReaders();
		world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
		await pass(1500);
		assert.deepEqual(world.entriesNotInState('t-9', 'draining'), []);
		const count = world.takeReaders().length;
		assert.equal(count <= readersPerZone + 2, true, `${count} read, at most two more than usual can get requests`);
	});
}

// Guards against new entries that read a list of thousands of targets from the store, or lack what the reader knows: draining
// targets, malformed records and recent removals.
test('an entry that joins late gets the whole list from a reader', async context => {
	const {world, pass} = await worldOf(context, named('z', 40));
	world.store.put('leaving', targetOf({state: 'draining', seq: 7}));
	for (const id of ['malformed', 'gone']) {
		world.store.put(id, targetOf({seq: 3}));
	}

	await pass(1000);
	world.store.put('malformed', '{"state":"ready"}');
	world.store.put('gone', undefined);
	await pass(1000);
	world.takeReaders();
	await world.join('z-99');
	assert.equal(world.takeReaders().includes('z-99'), false);
	assert.deepEqual(['t-0', 'leaving', 'malformed', 'gone'].map(id => world.entriesNotInState(id, 'ready').includes('z-99')), [false, true, true, false]);
	assert.equal(world.entriesNotInState('leaving', 'draining').includes('z-99'), false);
	await pass(3000);
	assert.deepEqual(world.entriesNotInState('gone', 'gone'), []);
	world.store.put('malformed', targetOf({seq: 4}));
	await pass(1500);
	assert.deepEqual(world.entriesNotInState('malformed', 'ready'), []);
});

// Guards against omitting a record that differs only in its sequence number after the target was removed.
test('a target that is removed for a moment is restored on all entries', async context => {
	const {world, pass} = await worldOf(context);
	world.store.put('t-9', targetOf({seq: 1}));
	await pass(1500);
	world.store.put('t-9', undefined);
	await pass(1000);
	world.store.put('t-9', targetOf({seq: 2}));
	await pass(4000);
	assert.deepEqual(world.entriesNotInState('t-9', 'ready'), []);
});

// Guards against all entries reading the missed records from the store at once when it is available again.
test('after an outage of the store most entries get what they missed from readers', async context => {
	const {world, pass} = await worldOf(context, named('z', 40));
	for (const name of world.entries.keys()) {
		world.store.unreachableEntries.add(name);
	}

	await pass(5000);
	world.store.unreachableEntries.clear();
	world.takeReaders();
	world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
	await pass(1500);
	assert.deepEqual(world.entriesNotInState('t-9', 'draining'), []);
	const before = new Set(world.takeReaders());
	await pass(2000);
	assert.equal(world.takeReaders().length, readersPerZone);
	assert.equal(before.size < 40, true, `${before.size} read`);
});

// Guards against an entry that is disconnected from all peers, but not from the store.
test('an entry without peers reads for itself', async context => {
	const {world, pass} = await worldOf(context);
	world.network.isolate('z-5', true);
	await pass(1000);
	world.store.put('t-9', targetOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.entriesNotInState('t-9', 'draining'), []);
	await pass(2000);
	world.network.isolate('z-5', false);
	world.network.connect();
	await pass(4000);
	world.takeReaders();
	await pass(1500);
	assert.equal(world.takeReaders().length, readersPerZone);
});

test('an entry that is leaving no longer reads for others', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	const [leaving] = world.takeReaders();
	const entry = world.entries.get(leaving!)!;
	entry.isLeaving = true;
	entry.pool.broadcastState();
	await pass(3000);
	world.takeReaders();
	await pass(2000);
	const others = [...world.journal.named('listOriginChanged')].filter(({origin, cause}) => origin === 'store' && cause === 'request timed out');
	assert.deepEqual(others, []);
});

// Guards against an entry that ignores requests because it doesn't consider itself a reader.
test('an entry that gets a request reads, whatever its role', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	const readers = world.takeReaders();
	const [receiver, requester] = [...world.entries.keys()].filter(name => !readers.includes(name));
	const answeredRequests: number[] = [];
	const {readerGroup} = world.entries.get(requester!)!;
	readerGroup.onDidReceiveUpdate(({update}) => {
		answeredRequests.push(update.requestId);
	});
	readerGroup.sendRequest(`${receiver}#1` as MemberId, {requestId: 1000, from: undefined});
	await pass(500);
	assert.equal(world.takeReaders().includes(receiver!), true);
	assert.equal(answeredRequests.includes(1000), true);
	await pass(3000);
	world.takeReaders();
	await pass(1000);
	assert.deepEqual(world.takeReaders(), readers, 'it stops reading when requests stop');
});
