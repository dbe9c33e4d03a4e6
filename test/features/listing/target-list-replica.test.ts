/** A few entries of a zone read the list of targets for the others. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {fullMeshLimit} from '../../../src/features/pool/full-mesh-limit.js';
import {ListWorld} from '../../support/list-world.js';

/** A target that has announced its leaving gets no new tasks after so long. */
const drainMilliseconds = 2000;
const born = 1_700_000_000_000;
const readersOfZone = 3;

type Said = {readonly state?: string; readonly seq?: number; readonly born?: number; readonly addr?: string};

function entryOf({state = 'ready', seq = 1, born: bornAt = born, addr = '10.0.1.1:1'}: Said = {}): string {
	return `{"service":"s","addr":"${addr}","zone":"z","state":"${state}","born":${bornAt},"seq":${seq},"capacity":{"cpu":64000,"mem_mb":1000,"gpu":0},"labels":["a"]}`;
}

function named(zone: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `${zone}-${index}`);
}

/** A fleet whose entries have the list; targets `t-0` to `t-4` write every half second. */
async function worldOf(context: TestContext, names = named('z', 20)) {
	const world = new ListWorld(names);
	let seq = 1;
	const beat = () => {
		for (let index = 0; index < 5; index += 1) {
			world.store.put(`t-${index}`, entryOf({seq}));
		}

		seq += 1;
	};

	beat();
	await world.start();
	const pass = async (milliseconds: number) => {
		for (let passed = 0; passed < milliseconds; passed += 500) {
			beat();
			await world.pass(Math.min(500, milliseconds - passed));
		}
	};

	await pass(2000);
	context.after(() => {
		world.dispose();
	});
	world.takeReaders();
	return {world, pass};
}

test('of a zone of a large fleet three entries read, and the others know of each change in time', async context => {
	const {world, pass} = await worldOf(context);
	world.store.put('leaving', entryOf());
	await pass(1500);
	assert.deepEqual(world.otherwise('leaving', 'ready'), []);
	world.store.put('leaving', entryOf({state: 'draining', seq: 2}));
	await pass(1500);
	assert.deepEqual(world.otherwise('leaving', 'draining'), []);
	assert.equal(world.takeReaders().length, readersOfZone);
});

test('the entries of a small fleet read by themselves', async context => {
	const {world, pass} = await worldOf(context, named('z', fullMeshLimit + 1));
	await pass(1000);
	assert.equal(world.takeReaders().length, fullMeshLimit + 1);
	assert.deepEqual(world.journal.named('listOriginChanged'), []);
});

// The process that reads for others ends without a word: they would go on sending tasks to a target that leaves.
test('an announcement is known in time although all readers died as it was made', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	for (const name of world.takeReaders()) {
		world.kill(name);
	}

	world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.otherwise('t-9', 'draining'), []);
	await pass(4000);
	world.takeReaders();
	await pass(2000);
	assert.equal(world.takeReaders().length, readersOfZone, 'others read in their place');
});

// The reader dies, and the first read of each entry that goes to the store itself gets no answer.
test('an announcement is known in time although readers died and one read of each entry fails', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	for (const name of world.takeReaders()) {
		world.kill(name);
	}

	for (const name of world.entries.keys()) {
		world.store.losses.set(name, 1);
	}

	world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.otherwise('t-9', 'draining'), []);
});

// A reader stands still, or is suspended and doesn't count the time: it must not keep others from reading, nor pass on what
// it read before as if it were new.
for (const isCounted of [true, false]) {
	test(`readers that ${isCounted ? 'stand still' : 'are suspended'} keep nobody from knowing an announcement in time`, async context => {
		const {world, pass} = await worldOf(context);
		await pass(1000);
		const readers = world.takeReaders();
		for (const name of readers) {
			world.entries.get(name)!.clock.stop();
		}

		world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
		await pass(drainMilliseconds - 500);
		assert.deepEqual(world.otherwise('t-9', 'draining').filter(name => !readers.includes(name)), []);
		await pass(3000);
		world.store.put('t-9', entryOf({state: 'ready', seq: 1, born: born + 1}));
		await pass(1500);
		for (const name of readers) {
			world.entries.get(name)!.clock.resume({first: 'network', isCounted, socketOrder: 0});
		}

		for (let passed = 0; passed < 3000; passed += 100) {
			await world.pass(100);
			assert.deepEqual(world.otherwise('t-9', 'ready').filter(name => !readers.includes(name)), [], 'nothing of before has an effect');
		}

		assert.deepEqual(world.otherwise('t-9', 'ready'), []);
	});
}

// Readers are cut off from the store and still reach the others: their silence about it must not count as news.
test('readers that are cut off from the store keep nobody from knowing an announcement in time', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	const readers = world.takeReaders();
	for (const name of readers) {
		world.store.cut.add(name);
	}

	world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.otherwise('t-9', 'draining').filter(name => !readers.includes(name)), []);
});

// What a reader has sent is held up on the way for seconds, as behind a cut: it comes after newer news, and is no news.
test('an answer that comes seconds late has no effect', async context => {
	const {world, pass} = await worldOf(context);
	world.store.put('t-9', entryOf({seq: 1}));
	await pass(1000);
	const readers = world.takeReaders();
	for (const reader of readers) {
		for (const name of world.entries.keys()) {
			world.network.delays.set(`${reader}#1>${name}#1`, 4000);
		}
	}

	await pass(500);
	world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.otherwise('t-9', 'draining'), []);
	world.store.put('t-9', entryOf({seq: 1, born: born + 1}));
	await pass(1500);
	for (let passed = 0; passed < 5000; passed += 100) {
		await world.pass(100);
		assert.deepEqual(world.otherwise('t-9', 'ready'), []);
	}
});

for (const half of [0, 1]) {
	// Entries that don't hear of the same ones choose other readers: the one that's asked has to read, whatever it thinks itself.
	test(`entries that disagree about who reads are all served, half ${half}`, async context => {
		const {world, pass} = await worldOf(context);
		await pass(1000);
		const readers = world.takeReaders();
		const [first, second] = readers;
		const blind = [...world.entries.keys()].filter(name => !readers.includes(name)).filter((_, index) => index % 2 === half);
		for (const name of blind) {
			for (const reader of [first, second]) {
				world.network.cuts.add(`${reader}#1>${name}#1`);
				world.network.cuts.add(`${name}#1>${reader}#1`);
			}
		}

		await pass(5000);
		world.takeReaders();
		world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
		await pass(1500);
		assert.deepEqual(world.otherwise('t-9', 'draining'), []);
		const count = world.takeReaders().length;
		assert.equal(count <= readersOfZone + 2, true, `${count} read, where two more than usual can be asked`);
	});
}

// An entry that starts where many are reads no list of thousands of targets from the store, and yet knows what a reader knows:
// that a target leaves, that its entry was spoilt, that it went lately.
test('an entry that joins late has the whole list from a reader', async context => {
	const {world, pass} = await worldOf(context, named('z', 40));
	world.store.put('leaving', entryOf({state: 'draining', seq: 7}));
	for (const id of ['spoilt', 'gone']) {
		world.store.put(id, entryOf({seq: 3}));
	}

	await pass(1000);
	world.store.put('spoilt', '{"state":"ready"}');
	world.store.put('gone', undefined);
	await pass(1000);
	world.takeReaders();
	await world.join('z-99');
	assert.equal(world.takeReaders().includes('z-99'), false);
	assert.deepEqual(['t-0', 'leaving', 'spoilt', 'gone'].map(id => world.otherwise(id, 'ready').includes('z-99')), [false, true, true, false]);
	assert.equal(world.otherwise('leaving', 'draining').includes('z-99'), false);
	await pass(3000);
	assert.deepEqual(world.otherwise('gone', 'gone'), []);
	world.store.put('spoilt', entryOf({seq: 4}));
	await pass(1500);
	assert.deepEqual(world.otherwise('spoilt', 'ready'), []);
});

// A target that was taken for gone writes again with nothing but its number changed: whoever was told that it went is told that too.
test('a target that went from the list for a moment stays with all entries', async context => {
	const {world, pass} = await worldOf(context);
	world.store.put('t-9', entryOf({seq: 1}));
	await pass(1500);
	world.store.put('t-9', undefined);
	await pass(1000);
	world.store.put('t-9', entryOf({seq: 2}));
	await pass(4000);
	assert.deepEqual(world.otherwise('t-9', 'ready'), []);
});

// While the store is away nobody is fed: asked again and again by all at once when it's back, it would have to give everybody the
// whole time's records.
test('after the store was away most entries have from readers what they missed', async context => {
	const {world, pass} = await worldOf(context, named('z', 40));
	for (const name of world.entries.keys()) {
		world.store.cut.add(name);
	}

	await pass(5000);
	world.store.cut.clear();
	world.takeReaders();
	world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
	await pass(1500);
	assert.deepEqual(world.otherwise('t-9', 'draining'), []);
	const before = new Set(world.takeReaders());
	await pass(2000);
	assert.equal(world.takeReaders().length, readersOfZone);
	assert.equal(before.size < 40, true, `${before.size} read`);
});

// An entry is cut off from all others, and not from the store.
test('an entry that hears nobody reads by itself', async context => {
	const {world, pass} = await worldOf(context);
	world.network.isolate('z-5', true);
	await pass(1000);
	world.store.put('t-9', entryOf({state: 'draining', seq: 2}));
	await pass(drainMilliseconds - 500);
	assert.deepEqual(world.otherwise('t-9', 'draining'), []);
	await pass(2000);
	world.network.isolate('z-5', false);
	world.network.connect();
	await pass(4000);
	world.takeReaders();
	await pass(1500);
	assert.equal(world.takeReaders().length, readersOfZone);
});

test('an entry that leaves reads for nobody any more', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	const [leaving] = world.takeReaders();
	const entry = world.entries.get(leaving!)!;
	entry.isLeaving = true;
	entry.pool.broadcastState();
	await pass(3000);
	world.takeReaders();
	await pass(2000);
	const others = [...world.journal.named('listOriginChanged')].filter(({origin, cause}) => origin === 'store' && cause === 'no answer in time');
	assert.deepEqual(others, []);
});

// Whoever asks may know of other entries than the one that is asked, which doesn't take itself for a reader.
test('an entry that is asked reads, whatever it takes itself for', async context => {
	const {world, pass} = await worldOf(context);
	await pass(1000);
	const readers = world.takeReaders();
	const [asked, asker] = [...world.entries.keys()].filter(name => !readers.includes(name));
	const answers: number[] = [];
	const {circle} = world.entries.get(asker!)!;
	circle.onDidReceiveUpdate(({update}) => {
		answers.push(update.requestId);
	});
	circle.sendRequest(`${asked}#1` as MemberId, {requestId: 1000, from: undefined});
	await pass(500);
	assert.equal(world.takeReaders().includes(asked!), true);
	assert.equal(answers.includes(1000), true);
	await pass(3000);
	world.takeReaders();
	await pass(1000);
	assert.deepEqual(world.takeReaders(), readers, 'it ceases when it is not asked any more');
});
