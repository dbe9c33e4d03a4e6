/** Tests which of several changes take effect. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JsonValue} from '../../../src/base/json-value.js';
import type {StreamOffset} from '../../../src/base/stream-offset.js';
import {emptyConfiguration} from '../../../src/features/profiles/empty-configuration.js';
import {foldRecord} from '../../../src/features/profiles/fold-record.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matchSnapshot = createSnapshotMatcher(import.meta.url);

function outcomesOf(bodies: readonly JsonValue[]): unknown {
	let configuration = emptyConfiguration;
	const outcomes: unknown[] = [];
	for (const [offset, body] of bodies.entries()) {
		const folded = foldRecord(configuration, {offset: offset as StreamOffset, body});
		configuration = folded.configuration;
		outcomes.push(folded.outcome ?? folded.skipped ?? 'snapshot');
	}

	return outcomes;
}

function change(kind: string, changeId: string, keys: Record<string, JsonValue>): JsonValue {
	return {
		kind, version: 1, changeId: `change-${changeId}`, ...keys,
	};
}

const profile = {name: 'flight-desk'};

test('concurrent changes are resolved by their order in the log', () => {
	// Guards against a lost update when two operators revise the same revision.
	matchSnapshot('race', outcomesOf([
		change('publish', 'a', {profile}),
		change('revise', 'b', {profile: {...profile, weight: 20}, base: 0}),
		change('revise', 'c', {profile: {...profile, weight: 30}, base: 0}),
		change('retire', 'd', {name: 'flight-desk', base: 1}),
		change('revise', 'e', {profile, base: 1}),
		change('publish', 'f', {profile}),
	]));
});

test('a change that is appended twice takes effect once', () => {
	// Guards against applying a change twice when it is retried after a lost reply.
	matchSnapshot('twice', outcomesOf([
		change('publish', 'a', {profile}),
		change('revise', 'b', {profile, base: 0}),
		change('revise', 'b', {profile, base: 0}),
	]));
});

test('invalid records and those of a later version are skipped', () => {
	const outcomes = outcomesOf(['garbage', {kind: 'publish', version: 1}, {
		kind: 'publish', version: 2, changeId: 'later-change', profile,
	}, change('publish', 'a', {profile: {name: 'X'}})]);
	assert.deepEqual((outcomes as Array<{kind: string}>).map(({kind}) => kind), ['invalid', 'invalid', 'newer', 'invalid']);
});
