/** The list as it's known, whoever has read it. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {ReplicatedList} from '../../../src/features/listing/replicated-list.js';
import {TargetTable} from '../../../src/features/listing/target-table.js';
import type {ListRecord} from '../../../src/features/listing/list-record.js';

type Kept = {readonly key: string; readonly value: Uint8Array | undefined};

/** Keeps the text of each key; a record that repeats it changes nothing. */
class TextKeeper extends TargetTable {
	readonly texts = new Map<string, string>();

	override get snapshot() {
		return [...this.texts].map(([key, text]) => ({key, value: Buffer.from(text)}));
	}

	override replaceAll(values: readonly Kept[]): void {
		this.texts.clear();
		for (const value of values) {
			this.apply(value);
		}
	}

	override apply({key, value}: Kept): boolean {
		const text = value === undefined ? undefined : Buffer.from(value).toString();
		const isNew = this.texts.get(key) !== text;
		if (text === undefined) {
			this.texts.delete(key);
		} else {
			this.texts.set(key, text);
		}

		return isNew;
	}

	override commit(): void {
		// Nobody is told.
	}
}

function listOf() {
	const keeper = new TextKeeper();
	return {keeper, list: new ReplicatedList(keeper)};
}

function recordsOf(from: number, texts: ReadonlyArray<readonly [string, string | undefined]>): readonly ListRecord[] {
	return texts.map(([key, text], index) => ({offset: from + index, key, value: text === undefined ? undefined : Buffer.from(text)}));
}

/** A list that was read up to offset 4: `a` is 1, `b` is 2. */
function readerOf() {
	const {keeper, list} = listOf();
	list.applySnapshot(new Map([['a', Buffer.from('1')]]), 2);
	list.applyRecords(recordsOf(2, [['a', '1'], ['b', '2']]), 4, true);
	return {keeper, list};
}

test('what changed is passed on, and what is only confirmed isn\'t', () => {
	const reader = readerOf();
	const follower = listOf();
	assert.equal(follower.list.applyUpdate(reader.list.updateFor({requestId: 1, from: undefined}), false), true);
	reader.list.applyRecords(recordsOf(4, [['a', '1'], ['b', '3'], ['a', undefined], ['b', '3']]), 8, true);
	const passage = reader.list.updateFor({requestId: 2, from: follower.list.next});
	assert.deepEqual({from: passage.from, next: passage.next}, {from: 4, next: 8});
	assert.equal(follower.list.applyUpdate(passage, false), true);
	assert.deepEqual([...follower.keeper.texts], [['b', '3']]);
	assert.equal(follower.list.next, 8);
});

// A reader that stood still sends what it had read before: the list would go back by as long as it stood.
test('a passage that is older than what is known has no effect', () => {
	const reader = readerOf();
	const whole = reader.list.updateFor({requestId: 1, from: undefined});
	const follower = listOf();
	follower.list.applyUpdate(whole, false);
	reader.list.applyRecords(recordsOf(4, [['a', '5']]), 5, true);
	const changes = reader.list.updateFor({requestId: 2, from: 4});
	follower.list.applyRecords(recordsOf(4, [['a', '5'], ['a', '6']]), 6, true);
	follower.list.applyUpdate(changes, true);
	assert.equal(follower.list.applyUpdate(whole, true), false);
	assert.deepEqual({next: follower.list.next, a: follower.keeper.texts.get('a')}, {next: 6, a: '6'});
});

// The store has dropped what came since, and an old list comes late: nobody can tell what it lacks.
test('a late list is not taken while none is known', () => {
	const late = readerOf().list.updateFor({requestId: 1, from: undefined});
	const {keeper, list} = listOf();
	list.applySnapshot(new Map([['a', Buffer.from('7')]]), 9);
	list.invalidate(9);
	assert.equal(list.applyUpdate(late, true), false);
	assert.equal(keeper.texts.get('a'), '7');
});

// Some of the newest values are newer than the offset that the store gives for them: told as of that offset, a change between the
// two would never be told.
test('a list that isn\'t of one moment is told to nobody', () => {
	const {list} = listOf();
	list.applySnapshot(new Map([['a', Buffer.from('2')]]), 1);
	assert.equal(list.isComplete, false);
	list.applyRecords(recordsOf(1, [['a', '1']]), 2, false);
	assert.equal(list.isComplete, false);
	list.applyRecords(recordsOf(2, [['a', '2']]), 3, true);
	assert.equal(list.isComplete, true);
	assert.equal(list.updateFor({requestId: 1, from: 2}).from, undefined, 'who is behind that is told the whole list');
});

test('a passage that leaves something out is not taken', () => {
	const reader = readerOf();
	reader.list.applyRecords(recordsOf(4, [['a', '5'], ['a', '6']]), 6, true);
	const {list} = listOf();
	list.applySnapshot(new Map(), 3);
	assert.equal(list.applyUpdate(reader.list.updateFor({requestId: 1, from: 5}), false), false);
	assert.equal(list.next, 3);
});

test('who is far behind is told the whole list', () => {
	const reader = readerOf();
	reader.list.applyRecords(recordsOf(4, Array.from({length: 5000}, (_, index) => ['a', String(index)] as const)), 5004, true);
	assert.equal(reader.list.updateFor({requestId: 1, from: 4}).from, undefined);
	assert.equal(reader.list.updateFor({requestId: 1, from: 5000}).from, 5000);
	const follower = listOf();
	assert.equal(follower.list.applyUpdate(reader.list.updateFor({requestId: 1, from: 4}), false), true);
	assert.deepEqual([...follower.keeper.texts], [['a', '4999'], ['b', '2']]);
});

test('bytes that are no passage are refused and change nothing', () => {
	const {keeper, list} = readerOf();
	for (const records of [Buffer.from([]), Buffer.from([1, 2, 3]), Buffer.from([0, 1]), Buffer.concat([Buffer.from([0]), Buffer.alloc(15), Buffer.from([9])])]) {
		for (const from of [undefined, 4]) {
			assert.throws(() => list.applyUpdate({
				requestId: 1, from, next: 5, records,
			}, false));
		}
	}

	assert.equal(keeper.texts.get('b'), '2');
});
