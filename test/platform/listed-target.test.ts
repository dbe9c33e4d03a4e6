/** Detection of heartbeats among the records of a target. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {decodeTarget} from '../../platform/decode-target.js';
import {ListedTarget} from '../../platform/listed-target.js';

function entryOf(change: Readonly<Record<string, unknown>> = {}): Uint8Array {
	return Buffer.from(JSON.stringify({
		service: 's', addr: '10.0.0.1:1', zone: 'z', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 900, born: 7,
		capacity: {cpu: 1, mem_mb: 1, gpu: 0}, labels: ['a'], clock_ms: 1000, seq: 4, ...change,
	}));
}

function listedOf(value: Uint8Array): ListedTarget {
	const entry = decodeTarget('i-1', value);
	assert.equal(entry.kind, 'target');
	return entry.kind === 'target' ? new ListedTarget(entry.record, entry.sequence, value) : assert.fail();
}

// Decoding every heartbeat would take too much processor time with thousands of targets.
test('a record that differs only in volatile fields is accepted as a heartbeat', () => {
	const listed = listedOf(entryOf());
	assert.equal(listed.refresh(entryOf({seq: 5, clock_ms: 2500, cold_left_ms: 0})), true);
	assert.equal(listed.refresh(entryOf({seq: 10, clock_ms: 100_000, cold_left_ms: 0})), true);
	assert.equal(listed.sequence, 10);
	assert.equal(JSON.parse(Buffer.from(listed.entry).toString()).seq, 10);
});

test('a record that is older or differs in other fields is not a heartbeat', () => {
	const listed = listedOf(entryOf());
	const changes = [
		{state: 'draining', seq: 5},
		{seq: 3},
		{seq: '5'},
		{seq: -5},
		{seq: 5, born: 8},
		{seq: 5, addr: '10.0.0.1:2'},
		{seq: 5, more: 1},
		{seq: 5, labels: []},
		{seq: 5.5},
		{seq: 5, clock_ms: undefined},
	];
	for (const change of changes) {
		assert.equal(listed.refresh(entryOf(change)), false, JSON.stringify(change));
	}

	for (const length of [0, 1, 50, entryOf().length - 1]) {
		assert.equal(listed.refresh(entryOf().subarray(0, length)), false, `${length} bytes`);
	}

	assert.equal(listed.sequence, 4);
});

test('no record is a heartbeat of a record without a sequence number', () => {
	const value = entryOf();
	const listed = new ListedTarget(listedOf(value).record, 4, Buffer.from(Buffer.from(value).toString().replace('"seq"', '"sequence"')));
	assert.equal(listed.refresh(value), false);
	assert.equal(listed.entry.length > 0, true);
});
