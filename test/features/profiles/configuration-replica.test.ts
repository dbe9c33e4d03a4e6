/** Tests that the configuration never goes back, whatever its sources return. */
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

/** The JSON body of a snapshot record. */
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

test('a log that became shorter is reported and changes nothing', () => {
	// Guards against a rollback when the log is restored from an outdated backup.
	const replica = new ConfigurationReplica();
	replica.applyPage(pageOf(three, 0));
	assert.equal(replica.applyPage(pageOf(three.slice(0, 2), replica.nextReadOffset)).problem, 'wentBack');
	assert.equal(replica.configuration.nextOffset, 3);
});

test('a log whose folded record was replaced is reported and not followed', () => {
	const replica = new ConfigurationReplica();
	replica.applyPage(pageOf(three, 0));
	const other = [...three.slice(0, 2), ...recordsOf([publish('x', 9), publish('y', 10)], 2)];
	const result = replica.applyPage(pageOf(other, replica.nextReadOffset));
	assert.deepEqual([result.problem, result.steps.length, replica.configuration.profiles.has('c' as never)], ['replaced', 0, true]);
});

test('a snapshot replaces records that were trimmed from the log', () => {
	// Guards against a new entry loading an incomplete configuration after the log was trimmed.
	const afterFirst = foldRecord(emptyConfiguration, three[0]!).configuration;
	const upTo = foldRecord(afterFirst, three[1]!).configuration;
	const all = [...three, ...recordsOf([snapshotBody(upTo), publish('d', 4)], 3)];
	const replica = new ConfigurationReplica();
	assert.equal(replica.applyPage(pageOf(all, 0, 2)).problem, undefined);
	assert.deepEqual([...replica.configuration.profiles.keys()], ['a', 'b', 'c', 'd']);
	const incomplete = new ConfigurationReplica();
	assert.deepEqual([incomplete.applyPage(pageOf(three, 0, 2)).problem, incomplete.isLoaded], ['trimmed', false]);
});

test('a peer with a different digest is rejected', () => {
	const replica = new ConfigurationReplica();
	replica.applyPage(pageOf(three, 0));
	const result = replica.applyTail(3 as StreamOffset, 'another digest', recordsOf([publish('d', 4)], 3));
	assert.deepEqual([result.problem, replica.configuration.nextOffset], ['replaced', 3]);
});

test('a peer\'s older state changes nothing', () => {
	const replica = new ConfigurationReplica();
	replica.applyPage(pageOf(three, 0));
	const older = foldRecord(emptyConfiguration, three[0]!).configuration;
	replica.applySnapshot(snapshotOf(older));
	assert.equal(replica.configuration.nextOffset, 3);
});

/** Concurrent and repeated changes, mixed with invalid records and snapshots. */
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
type GeneratedRecord = typeof bodies extends fc.Arbitrary<Array<infer Item>> ? Item : never;

/** Returns the log's records and the state after each. */
function history(generated: readonly GeneratedRecord[]) {
	let configuration = emptyConfiguration;
	const states = [configuration];
	const records: StreamRecord[] = [];
	for (const [index, item] of generated.entries()) {
		const body = item.kind === 'snapshot' ? snapshotBody(configuration) : bodyOf(item);
		const record = {offset: index as StreamOffset, body};
		configuration = foldRecord(configuration, record).configuration;
		records.push(record);
		states.push(configuration);
	}

	return {records, states};
}

function bodyOf(item: GeneratedRecord): JsonValue {
	if (item.kind === 'bad') {
		return {kind: 'revise', version: 1};
	}

	const {kind, name, id, ...rest} = item as {kind: string; name: string; id: number};
	const common = {
		kind, version: 1, changeId: `change-${id}`, ...rest,
	};
	return kind === 'retire' ? {...common, name} : {...common, profile: {name, weight: id + 1}};
}

test('all readers reach the same state and never go back, whatever the source of the records', () => {
	const reads = fc.array(fc.record({
		kind: fc.constantFrom('page', 'trimmed', 'tail', 'state', 'old page'), first: fc.nat({max: 30}), end: fc.nat({max: 30}),
	}), {minLength: 1, maxLength: 25});
	fc.assert(fc.property(bodies, reads, (generated, steps) => {
		const {records, states} = history(generated);
		const replica = new ConfigurationReplica();
		for (const {kind, first, end} of steps) {
			const before = replica.configuration.nextOffset;
			const last = Math.min(end, records.length - 1);
			applyStep(replica, {records, states}, {kind, first: Math.min(first, last), last});
			const {nextOffset, digest} = replica.configuration;
			assert.ok(nextOffset >= before, 'went back');
			assert.equal(digest, states[nextOffset]!.digest);
			assert.deepEqual([...replica.configuration.profiles], [...states[nextOffset]!.profiles]);
			assert.deepEqual([...replica.configuration.changes], [...states[nextOffset]!.changes]);
		}
	}), {seed, numRuns: 1000});
});

function applyStep(
	replica: ConfigurationReplica,
	{records, states}: ReturnType<typeof history>,
	{kind, first, last}: {readonly kind: string; readonly first: number; readonly last: number},
): void {
	if (kind === 'state') {
		replica.applySnapshot(snapshotOf(states[last + 1]!));
	} else if (kind === 'tail') {
		replica.applyTail(first as StreamOffset, states[first]!.digest, records.slice(first, last + 1));
	} else {
		const firstOffset = kind === 'trimmed' ? first : 0;
		const from = kind === 'old page' ? 0 : replica.nextReadOffset;
		replica.applyPage(pageOf(records, from, firstOffset, last));
	}
}
