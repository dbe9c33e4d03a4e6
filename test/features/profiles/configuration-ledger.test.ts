/** The configuration only goes forward, whatever the log does. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {JsonValue} from '../../../src/base/json-value.js';
import type {StreamOffset} from '../../../src/base/stream-offset.js';
import type {Configuration} from '../../../src/features/profiles/configuration.js';
import {ConfigurationReplica} from '../../../src/features/profiles/configuration-replica.js';
import {emptyConfiguration} from '../../../src/features/profiles/empty-configuration.js';
import {foldRecord} from '../../../src/features/profiles/fold-record.js';
import {snapshotOf} from '../../../src/features/profiles/snapshot-of.js';
import type {StreamPage} from '../../../src/runtime/stream/stream-page.js';
import type {StreamRecord} from '../../../src/runtime/stream/stream-record.js';

const seed = 20_261_202;

/** A snapshot as the log's JSON carries it. */
function snapshotBody(configuration: Configuration): JsonValue {
	const text = JSON.stringify(snapshotOf(configuration));
	return JSON.parse(text) as JsonValue;
}

function publish(name: string, index: number): JsonValue {
	return {
		kind: 'publish', version: 1, changeId: `change-${index}`, profile: {name},
	};
}

function recordsOf(bodies: readonly JsonValue[], from = 0): StreamRecord[] {
	return bodies.map((body, index) => ({offset: (from + index) as StreamOffset, body}));
}

function pageOf(records: readonly StreamRecord[], from: number, firstOffset = 0, end = records.at(-1)?.offset ?? -1): StreamPage {
	return {
		records: records.filter(record => record.offset >= Math.max(from, firstOffset) && record.offset <= end),
		firstOffset: firstOffset as StreamOffset,
		nextOffset: (end + 1) as StreamOffset,
	};
}

const three = recordsOf([publish('a', 1), publish('b', 2), publish('c', 3)]);

test('a log that comes back shorter is reported, and changes nothing', () => {
	// The platform restores its log from a backup that lacks the last change.
	// Entries that followed it would put a retired profile back into force.
	const ledger = new ConfigurationReplica();
	ledger.applyPage(pageOf(three, 0));
	assert.equal(ledger.applyPage(pageOf(three.slice(0, 2), ledger.nextReadOffset)).problem, 'wentBack');
	assert.equal(ledger.configuration.nextOffset, 3);
});

test('a log with another record where one was folded is reported, and not followed', () => {
	const ledger = new ConfigurationReplica();
	ledger.applyPage(pageOf(three, 0));
	const other = [...three.slice(0, 2), ...recordsOf([publish('x', 9), publish('y', 10)], 2)];
	const acceptance = ledger.applyPage(pageOf(other, ledger.nextReadOffset));
	assert.deepEqual([acceptance.problem, acceptance.steps.length, ledger.configuration.profiles.has('c' as never)], ['replaced', 0, true]);
});

test('records that were trimmed under a reader are made good by a snapshot', () => {
	// A new entry starts after the log has forgotten its first records.
	// It finds a snapshot among the rest and goes on from there; without one it says that it can't know.
	const afterFirst = foldRecord(emptyConfiguration, three[0]!).configuration;
	const upTo = foldRecord(afterFirst, three[1]!).configuration;
	const all = [...three, ...recordsOf([snapshotBody(upTo), publish('d', 4)], 3)];
	const ledger = new ConfigurationReplica();
	assert.equal(ledger.applyPage(pageOf(all, 0, 2)).problem, undefined);
	assert.deepEqual([...ledger.configuration.profiles.keys()], ['a', 'b', 'c', 'd']);
	const blind = new ConfigurationReplica();
	assert.deepEqual([blind.applyPage(pageOf(three, 0, 2)).problem, blind.isLoaded], ['trimmed', false]);
});

test('a peer with another history is refused', () => {
	const ledger = new ConfigurationReplica();
	ledger.applyPage(pageOf(three, 0));
	const acceptance = ledger.acceptTail(3 as StreamOffset, 'another digest', recordsOf([publish('d', 4)], 3));
	assert.deepEqual([acceptance.problem, ledger.configuration.nextOffset], ['replaced', 3]);
});

test('a peer\'s older state changes nothing', () => {
	const ledger = new ConfigurationReplica();
	ledger.applyPage(pageOf(three, 0));
	const older = foldRecord(emptyConfiguration, three[0]!).configuration;
	ledger.acceptState(snapshotOf(older));
	assert.equal(ledger.configuration.nextOffset, 3);
});

/** Operators' changes that race, repeat and retire, with bad records and snapshots among them. */
const bodies = fc.array(fc.oneof(
	fc.record({kind: fc.constant('publish'), name: fc.constantFrom('a', 'b'), id: fc.nat({max: 9})}),
	fc.record({
		kind: fc.constant('revise'), name: fc.constantFrom('a', 'b'), id: fc.nat({max: 9}), base: fc.nat({max: 12}),
	}),
	fc.record({
		kind: fc.constant('retire'), name: fc.constantFrom('a', 'b'), id: fc.nat({max: 9}), base: fc.nat({max: 12}),
	}),
	fc.record({kind: fc.constant('bad')}),
	fc.record({kind: fc.constant('snapshot')}),
), {minLength: 1, maxLength: 30});
type Drawn = typeof bodies extends fc.Arbitrary<Array<infer Item>> ? Item : never;

/** The log's records, and the state after each. */
function history(drawn: readonly Drawn[]) {
	let configuration = emptyConfiguration;
	const states = [configuration];
	const records: StreamRecord[] = [];
	for (const [index, item] of drawn.entries()) {
		const body = item.kind === 'snapshot' ? snapshotBody(configuration) : bodyOf(item);
		const record = {offset: index as StreamOffset, body};
		configuration = foldRecord(configuration, record).configuration;
		records.push(record);
		states.push(configuration);
	}

	return {records, states};
}

function bodyOf(item: Drawn): JsonValue {
	if (item.kind === 'bad') {
		return {kind: 'revise', version: 1};
	}

	const {kind, name, id, ...rest} = item as {kind: string; name: string; id: number};
	const common = {
		kind, version: 1, changeId: `change-${id}`, ...rest,
	};
	return kind === 'retire' ? {...common, name} : {...common, profile: {name, weight: id + 1}};
}

test('every reader comes to the same state, and none goes back, however it gets the records', () => {
	const reads = fc.array(fc.record({
		kind: fc.constantFrom('page', 'trimmed', 'tail', 'state', 'old page'), first: fc.nat({max: 30}), end: fc.nat({max: 30}),
	}), {minLength: 1, maxLength: 25});
	fc.assert(fc.property(bodies, reads, (drawn, steps) => {
		const {records, states} = history(drawn);
		const ledger = new ConfigurationReplica();
		for (const {kind, first, end} of steps) {
			const before = ledger.configuration.nextOffset;
			const last = Math.min(end, records.length - 1);
			offer(ledger, {records, states}, {kind, first: Math.min(first, last), last});
			const {nextOffset, digest} = ledger.configuration;
			assert.ok(nextOffset >= before, 'went back');
			assert.equal(digest, states[nextOffset]!.digest);
			assert.deepEqual([...ledger.configuration.profiles], [...states[nextOffset]!.profiles]);
			assert.deepEqual([...ledger.configuration.changes], [...states[nextOffset]!.changes]);
		}
	}), {seed, numRuns: 1000});
});

function offer(
	ledger: ConfigurationReplica,
	{records, states}: ReturnType<typeof history>,
	{kind, first, last}: {readonly kind: string; readonly first: number; readonly last: number},
): void {
	if (kind === 'state') {
		ledger.acceptState(snapshotOf(states[last + 1]!));
	} else if (kind === 'tail') {
		ledger.acceptTail(first as StreamOffset, states[first]!.digest, records.slice(first, last + 1));
	} else {
		const firstOffset = kind === 'trimmed' ? first : 0;
		const from = kind === 'old page' ? 0 : ledger.nextReadOffset;
		ledger.applyPage(pageOf(records, from, firstOffset, last));
	}
}
