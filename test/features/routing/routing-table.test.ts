/** Version handling and route lookup. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {RoutingTable} from '../../../src/features/routing/routing-table.js';
import {FakeClock} from '../../support/fake-clock.js';
import {RecordingJournal} from '../../support/recording-journal.js';

function configurationOf(version: number, ...prefixes: readonly string[]) {
	return {
		version,
		bodyLimitBytes: 1000,
		routes: prefixes.map(pathPrefix => ({
			queue: pathPrefix as ProfileName, host: 'host', pathPrefix, service: 's' as ServiceName, priority: 0, attempts: 3, stretch: 1, slackMilliseconds: 0,
		})),
	};
}

function tableOf() {
	const clock = new FakeClock();
	return {clock, table: new RoutingTable(1500, clock, new RecordingJournal())};
}

test('the longest prefix wins, and hosts are matched separately', () => {
	const {table} = tableOf();
	table.update(configurationOf(1, '/a/', '/a/b/'), 'store');
	const found = table.resolve('host', '/a/b/c');
	assert.equal(found.kind === 'found' && found.route.queue, '/a/b/');
	assert.equal(table.resolve('other', '/a/b/c').kind, 'uncertain');
});

// Guards against a delayed response or a partitioned peer reverting the configuration.
test('an older version never replaces a newer one, whatever its source', () => {
	const {table} = tableOf();
	table.update(configurationOf(7, '/new/'), 'peer');
	table.update(configurationOf(3, '/old/'), 'store');
	assert.equal(table.version, 7);
	assert.equal(table.resolve('host', '/old/x').kind, 'uncertain');
});

// Guards against rejecting a new route because a response from before a suspension seems fresh.
test('a read that was sent before a pause does not confirm the version after it', () => {
	const {clock, table} = tableOf();
	table.update(configurationOf(1, '/a/'), 'store');
	const askedAt = clock.now();
	clock.advance(10);
	table.invalidate();
	table.confirm(askedAt);
	assert.equal(table.resolve('host', '/b/x').kind, 'uncertain');
	table.confirm(clock.now());
	assert.equal(table.resolve('host', '/b/x').kind, 'unknown');
});
