/** Consistency of the replicated target list, regardless of which entry reads it. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {ReplicatedList} from '../../../src/features/listing/replicated-list.js';
import {TargetTable} from '../../../src/features/listing/target-table.js';
import type {ListRecord} from '../../../src/features/listing/list-record.js';

type Value = {readonly key: string; readonly value: Uint8Array | undefined};

/** Stores the text of each key; a record that repeats it is no change. */
class TextTable extends TargetTable {
	readonly texts = new Map<string, string>();

	override get snapshot() {
		return [...this.texts].map(([key, text]) => ({key, value: Buffer.from(text)}));
	}

	override replaceAll(values: readonly Value[]): void {
		this.texts.clear();
		for (const value of values) {
			this.apply(value);
		}
	}

	override apply({key, value}: Value): boolean {
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
		// There are no listeners.
	}
}

function listOf() {
	const table = new TextTable();
	return {table, list: new ReplicatedList(table)};
}

function recordsOf(from: number, texts: ReadonlyArray<readonly [string, string | undefined]>): readonly ListRecord[] {
	return texts.map(([key, text], index) => ({offset: from + index, key, value: text === undefined ? undefined : Buffer.from(text)}));
}

/** A list that has been read up to offset 4: `a` is 1, `b` is 2. */
function readerOf() {
	const {table, list} = listOf();
	list.applySnapshot(new Map([['a', Buffer.from('1')]]), 2);
	list.applyRecords(recordsOf(2, [['a', '1'], ['b', '2']]), 4, true);
	return {table, list};
}

test('an update contains changes, but no records that repeat a value', () => {
	const reader = readerOf();
	const follower = listOf();
	assert.equal(follower.list.applyUpdate(reader.list.updateFor({requestId: 1, from: undefined}), false), true);
	reader.list.applyRecords(recordsOf(4, [['a', '1'], ['b', '3'], ['a', undefined], ['b', '3']]), 8, true);
	const update = reader.list.updateFor({requestId: 2, from: follower.list.next});
	assert.deepEqual({from: update.from, next: update.next}, {from: 4, next: 8});
	assert.equal(follower.list.applyUpdate(update, false), true);
	assert.deepEqual([...follower.table.texts], [['b', '3']]);
	assert.equal(follower.list.next, 8);
});

// Guards against reverting the list to the state that a stalled reader had read before.
test('an outdated update has no effect', () => {
	const reader = readerOf();
	const whole = reader.list.updateFor({requestId: 1, from: undefined});
	const follower = listOf();
	follower.list.applyUpdate(whole, false);
	reader.list.applyRecords(recordsOf(4, [['a', '5']]), 5, true);
	const changes = reader.list.updateFor({requestId: 2, from: 4});
	follower.list.applyRecords(recordsOf(4, [['a', '5'], ['a', '6']]), 6, true);
	follower.list.applyUpdate(changes, true);
	assert.equal(follower.list.applyUpdate(whole, true), false);
	assert.deepEqual({next: follower.list.next, a: follower.table.texts.get('a')}, {next: 6, a: '6'});
});

// Guards against accepting an old list whose missing changes the store has already trimmed.
test('a late list is rejected while no list is known', () => {
	const late = readerOf().list.updateFor({requestId: 1, from: undefined});
	const {table, list} = listOf();
	list.applySnapshot(new Map([['a', Buffer.from('7')]]), 9);
	list.invalidate(9);
	assert.equal(list.applyUpdate(late, true), false);
	assert.equal(table.texts.get('a'), '7');
});

// Guards against sending values as of an offset that they are newer than, so that followers would miss the changes in between.
test('a list that is not consistent as of one offset is not sent to others', () => {
	const {list} = listOf();
	list.applySnapshot(new Map([['a', Buffer.from('2')]]), 1);
	assert.equal(list.isComplete, false);
	list.applyRecords(recordsOf(1, [['a', '1']]), 2, false);
	assert.equal(list.isComplete, false);
	list.applyRecords(recordsOf(2, [['a', '2']]), 3, true);
	assert.equal(list.isComplete, true);
	assert.equal(list.updateFor({requestId: 1, from: 2}).from, undefined, 'a follower behind that offset gets the whole list');
});

test('an update that leaves a gap is rejected', () => {
	const reader = readerOf();
	reader.list.applyRecords(recordsOf(4, [['a', '5'], ['a', '6']]), 6, true);
	const {list} = listOf();
	list.applySnapshot(new Map(), 3);
	assert.equal(list.applyUpdate(reader.list.updateFor({requestId: 1, from: 5}), false), false);
	assert.equal(list.next, 3);
});

test('a follower that is far behind gets the whole list', () => {
	const reader = readerOf();
	reader.list.applyRecords(recordsOf(4, Array.from({length: 5000}, (_, index) => ['a', String(index)] as const)), 5004, true);
	assert.equal(reader.list.updateFor({requestId: 1, from: 4}).from, undefined);
	assert.equal(reader.list.updateFor({requestId: 1, from: 5000}).from, 5000);
	const follower = listOf();
	assert.equal(follower.list.applyUpdate(reader.list.updateFor({requestId: 1, from: 4}), false), true);
	assert.deepEqual([...follower.table.texts], [['a', '4999'], ['b', '2']]);
});

test('malformed updates are rejected and change nothing', () => {
	const {table, list} = readerOf();
	for (const records of [Buffer.from([]), Buffer.from([1, 2, 3]), Buffer.from([0, 1]), Buffer.concat([Buffer.from([0]), Buffer.alloc(15), Buffer.from([9])])]) {
		for (const from of [undefined, 4]) {
			assert.throws(() => list.applyUpdate({
				requestId: 1, from, next: 5, records,
			}, false));
		}
	}

	assert.equal(table.texts.get('b'), '2');
});
