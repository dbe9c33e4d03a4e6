/** Which of operators' changes stand. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JsonValue} from '../../../src/base/json-value.js';
import type {StreamOffset} from '../../../src/base/stream-offset.js';
import {emptyConfiguration} from '../../../src/features/profiles/empty-configuration.js';
import {foldRecord} from '../../../src/features/profiles/fold-record.js';
import {snapshotsOf} from '../../support/snapshots.js';

const matchSnapshot = snapshotsOf(import.meta.url);

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

test('operators who race each other are decided by the order of the log', () => {
	// Two operators revise the same profile from the same revision; both commands are appended.
	// The first stands, the second learns which revision won, and nobody's change is lost unseen.
	matchSnapshot('race', outcomesOf([
		change('publish', 'a', {profile}),
		change('revise', 'b', {profile: {...profile, weight: 20}, base: 0}),
		change('revise', 'c', {profile: {...profile, weight: 30}, base: 0}),
		change('retire', 'd', {name: 'flight-desk', base: 1}),
		change('revise', 'e', {profile, base: 1}),
		change('publish', 'f', {profile}),
	]));
});

test('an append that was made twice takes effect once', () => {
	// The reply to an append is lost, and the command appends again with the same change id.
	matchSnapshot('twice', outcomesOf([
		change('publish', 'a', {profile}),
		change('revise', 'b', {profile, base: 0}),
		change('revise', 'b', {profile, base: 0}),
	]));
});

test('bad records, and those of a later version, are passed over by everyone alike', () => {
	const outcomes = outcomesOf(['garbage', {kind: 'publish', version: 1}, {
		kind: 'publish', version: 2, changeId: 'later-change', profile,
	}, change('publish', 'a', {profile: {name: 'X'}})]);
	assert.deepEqual((outcomes as Array<{kind: string}>).map(({kind}) => kind), ['invalid', 'invalid', 'newer', 'invalid']);
});
