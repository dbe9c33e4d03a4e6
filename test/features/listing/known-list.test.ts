/** The list as it's known, whoever has read it. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {KnownList} from '../../../src/features/listing/known-list.js';
import {ListKeeper} from '../../../src/features/listing/list-keeper.js';
import type {ListRecord} from '../../../src/features/listing/list-record.js';

type Kept = {readonly key: string; readonly value: Uint8Array | undefined};

/** Keeps the text of each key; a record that repeats it changes nothing. */
class TextKeeper extends ListKeeper {
	readonly texts = new Map<string, string>();

	override get whole() {
		return [...this.texts].map(([key, text]) => ({key, value: Buffer.from(text)}));
	}

	override takeWhole(values: readonly Kept[]): void {
		this.texts.clear();
		for (const value of values) {
			this.take(value);
		}
	}

	override take({key, value}: Kept): boolean {
		const text = value === undefined ? undefined : Buffer.from(value).toString();
		const isNew = this.texts.get(key) !== text;
		if (text === undefined) {
			this.texts.delete(key);
		} else {
			this.texts.set(key, text);
		}

		return isNew;
	}

	override settle(): void {
		// Nobody is told.
	}
}

function listOf() {
	const keeper = new TextKeeper();
	return {keeper, list: new KnownList(keeper)};
}

function recordsOf(from: number, texts: ReadonlyArray<readonly [string, string | undefined]>): readonly ListRecord[] {
	return texts.map(([key, text], index) => ({offset: from + index, key, value: text === undefined ? undefined : Buffer.from(text)}));
}

/** A list that was read up to offset 4: `a` is 1, `b` is 2. */
function readerOf() {
	const {keeper, list} = listOf();
	list.takeNewest(new Map([['a', Buffer.from('1')]]), 2);
	list.takeRead(recordsOf(2, [['a', '1'], ['b', '2']]), 4, true);
	return {keeper, list};
}

test('what changed is passed on, and what is only confirmed isn\'t', () => {
	const reader = readerOf();
	const follower = listOf();
	assert.equal(follower.list.takePassage(reader.list.passageFor({question: 1, from: undefined}), false), true);
	reader.list.takeRead(recordsOf(4, [['a', '1'], ['b', '3'], ['a', undefined], ['b', '3']]), 8, true);
	const passage = reader.list.passageFor({question: 2, from: follower.list.next});
	assert.deepEqual({from: passage.from, next: passage.next}, {from: 4, next: 8});
	assert.equal(follower.list.takePassage(passage, false), true);
	assert.deepEqual([...follower.keeper.texts], [['b', '3']]);
	assert.equal(follower.list.next, 8);
});

// A reader that stood still sends what it had read before: the list would go back by as long as it stood.
test('a passage that is older than what is known has no effect', () => {
	const reader = readerOf();
	const whole = reader.list.passageFor({question: 1, from: undefined});
	const follower = listOf();
	follower.list.takePassage(whole, false);
	reader.list.takeRead(recordsOf(4, [['a', '5']]), 5, true);
	const changes = reader.list.passageFor({question: 2, from: 4});
	follower.list.takeRead(recordsOf(4, [['a', '5'], ['a', '6']]), 6, true);
	follower.list.takePassage(changes, true);
	assert.equal(follower.list.takePassage(whole, true), false);
	assert.deepEqual({next: follower.list.next, a: follower.keeper.texts.get('a')}, {next: 6, a: '6'});
});

// The store has dropped what came since, and an old list comes late: nobody can tell what it lacks.
test('a late list is not taken while none is known', () => {
	const late = readerOf().list.passageFor({question: 1, from: undefined});
	const {keeper, list} = listOf();
	list.takeNewest(new Map([['a', Buffer.from('7')]]), 9);
	list.forget(9);
	assert.equal(list.takePassage(late, true), false);
	assert.equal(keeper.texts.get('a'), '7');
});

// Some of the newest values are newer than the offset that the store gives for them: told as of that offset, a change between the
// two would never be told.
test('a list that isn\'t of one moment is told to nobody', () => {
	const {list} = listOf();
	list.takeNewest(new Map([['a', Buffer.from('2')]]), 1);
	assert.equal(list.isComplete, false);
	list.takeRead(recordsOf(1, [['a', '1']]), 2, false);
	assert.equal(list.isComplete, false);
	list.takeRead(recordsOf(2, [['a', '2']]), 3, true);
	assert.equal(list.isComplete, true);
	assert.equal(list.passageFor({question: 1, from: 2}).from, undefined, 'who is behind that is told the whole list');
});

test('a passage that leaves something out is not taken', () => {
	const reader = readerOf();
	reader.list.takeRead(recordsOf(4, [['a', '5'], ['a', '6']]), 6, true);
	const {list} = listOf();
	list.takeNewest(new Map(), 3);
	assert.equal(list.takePassage(reader.list.passageFor({question: 1, from: 5}), false), false);
	assert.equal(list.next, 3);
});

test('who is far behind is told the whole list', () => {
	const reader = readerOf();
	reader.list.takeRead(recordsOf(4, Array.from({length: 5000}, (_, index) => ['a', String(index)] as const)), 5004, true);
	assert.equal(reader.list.passageFor({question: 1, from: 4}).from, undefined);
	assert.equal(reader.list.passageFor({question: 1, from: 5000}).from, 5000);
	const follower = listOf();
	assert.equal(follower.list.takePassage(reader.list.passageFor({question: 1, from: 4}), false), true);
	assert.deepEqual([...follower.keeper.texts], [['a', '4999'], ['b', '2']]);
});

test('bytes that are no passage are refused and change nothing', () => {
	const {keeper, list} = readerOf();
	for (const records of [Buffer.from([]), Buffer.from([1, 2, 3]), Buffer.from([0, 1]), Buffer.concat([Buffer.from([0]), Buffer.alloc(15), Buffer.from([9])])]) {
		for (const from of [undefined, 4]) {
			assert.throws(() => list.takePassage({
				question: 1, from, next: 5, records,
			}, false));
		}
	}

	assert.equal(keeper.texts.get('b'), '2');
});
