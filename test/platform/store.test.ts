/** The store client and its users, with the store's stand-in. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {StoreClient} from '../../platform/store-client.js';
import {StorePartitionGroup} from '../../platform/store-partition-group.js';
import {RoutingSubscription} from '../../platform/routing-subscription.js';
import {SystemClock} from '../../src/base/system-clock.js';
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {ZoneEvacuations} from '../../src/features/targets/zone-evacuations.js';
import {type RecordingJournal} from '../support/recording-journal.js';
import {createStore} from '../support/create-store.js';
import {waitUntil} from '../support/wait-until.js';

const clock = new SystemClock();

function configurationOf(version: number, hosts: readonly string[]): string {
	return JSON.stringify({
		version, routes: hosts.map(host => ({
			name: `r-${host}`, host, path_prefix: '/p/', service: 's', priority: 1, attempts: 3, stretch: 1.6, target_latency_ms: 60, unknown: true,
		})), limits: {max_body_bytes: 1000},
	});
}

function routingOf(store: StoreClient, table: RoutingTable, journal: RecordingJournal, evacuations = new ZoneEvacuations(journal)) {
	return new RoutingSubscription({
		store, table, evacuations, maxAgeMilliseconds: 1500, clock, journal,
	});
}

test('the highest valid configuration version is applied, malformed ones are ignored', async () => {
	const {service, journal, client} = await createStore();
	const table = new RoutingTable(1500, clock, journal);
	const routing = routingOf(client, table, journal);
	service.put('keyed.op', 'config', configurationOf(3, ['one']));
	routing.start();
	await waitUntil(() => table.version === 3);
	service.put('keyed.op', 'config', configurationOf(2, ['old']));
	service.put('keyed.op', 'config', '{"version":');
	service.put('keyed.op', 'config', '{"version":9,"routes":[{"name":"half"}]}');
	service.put('keyed.op', 'config', configurationOf(7, ['two']));
	await waitUntil(() => table.version === 7);
	assert.equal(table.resolve('two', '/p/x').kind, 'found');
	assert.equal(journal.named('answerUnreadable').length, 2);
	assert.equal(journal.named('routingChanged').length, 2);
	routing.dispose();
	client.dispose();
});

test('zones are evacuated while their keys exist, even if the deletion of a key was missed', async () => {
	const {service, journal, client} = await createStore();
	const table = new RoutingTable(1500, clock, journal);
	const evacuations = new ZoneEvacuations(journal);
	const routing = routingOf(client, table, journal, evacuations);
	const [first, second] = ['one' as AvailabilityZone, 'two' as AvailabilityZone];
	service.put('keyed.op', 'evacuate/one', '{}');
	routing.start();
	await waitUntil(() => evacuations.has(first));
	service.put('keyed.op', 'evacuate/two', 'anything');
	await waitUntil(() => evacuations.has(second));
	service.put('keyed.op', 'evacuate/two', '');
	await waitUntil(() => !evacuations.has(second));
	service.injectFault({status: 503});
	service.put('keyed.op', 'evacuate/one', '');
	service.injectFault({dropHistoryOf: 'keyed.op'});
	await waitUntil(() => journal.named('storeAway').length === 1);
	service.injectFault({status: 0});
	await waitUntil(() => !evacuations.has(first));
	routing.dispose();
	client.dispose();
});

// Guards against a record of another key that is taken for the configuration.
test('a key that begins with a byte order mark is not the key without it', async () => {
	const {service, journal, client} = await createStore();
	const table = new RoutingTable(1500, clock, journal);
	const evacuations = new ZoneEvacuations(journal);
	const routing = routingOf(client, table, journal, evacuations);
	service.put('keyed.op', 'config', configurationOf(1, ['one']));
	routing.start();
	await waitUntil(() => table.version === 1);
	service.put('keyed.op', '\uFEFFconfig', configurationOf(5, ['other']));
	service.put('keyed.op', '\uFEFFevacuate/one', '{}');
	service.put('keyed.op', 'config', configurationOf(2, ['two']));
	await waitUntil(() => table.version > 1);
	assert.deepEqual([table.version, evacuations.has('one' as AvailabilityZone)], [2, false]);
	routing.dispose();
	client.dispose();
});

// The store may trim its history before an entry has read a change.
test('a configuration whose record was trimmed is read as the latest value of its key', async () => {
	const {service, journal, client} = await createStore();
	const table = new RoutingTable(1500, clock, journal);
	const routing = routingOf(client, table, journal);
	service.put('keyed.op', 'config', configurationOf(1, ['one']));
	routing.start();
	await waitUntil(() => table.version === 1);
	service.injectFault({status: 503});
	service.put('keyed.op', 'config', configurationOf(2, ['two']));
	service.injectFault({dropHistoryOf: 'keyed.op'});
	await waitUntil(() => journal.named('storeAway').length === 1);
	service.injectFault({status: 0});
	await waitUntil(() => table.version === 2);
	assert.equal(journal.named('storeBack').length, 1);
	routing.dispose();
	client.dispose();
});

test('two members share the partitions of a group, also after a lost response, and one gets all when the other leaves', async () => {
	const {service, client} = await createStore();
	const group = new StorePartitionGroup(client, 24, 1500);
	const name = 'targets.z' as OwnershipGroupName;
	const first = await group.join(name, 'a', 0);
	assert.equal(first?.partitions.size, 24);
	await group.join(name, 'b', 0);
	const reduced = await group.join(name, 'a', first.generation);
	assert.equal(reduced?.partitions.size, 12);
	service.injectFault({lostReplies: 1});
	assert.equal(await group.join(name, 'a', reduced.generation), undefined);
	const second = await group.join(name, 'b', reduced.generation);
	assert.equal(second?.partitions.size, 12);
	await group.leave(name, 'a');
	const all = await group.join(name, 'b', second.generation);
	assert.equal(all?.partitions.size, 24);
	client.dispose();
});

test('a malformed response is logged and treated as missing', async () => {
	const {service, journal, client} = await createStore();
	service.injectFault({isGarbled: true});
	assert.equal(await client.readLatest('keyed.op'), undefined);
	assert.equal(await new StorePartitionGroup(client, 24, 1500).join('g' as OwnershipGroupName, 'a', 0), undefined);
	assert.equal(journal.named('answerUnreadable').length, 2);
	client.dispose();
});

// The store returns a row for unassigned partitions too; a member without a name must not count as a holder.
test('the holders of a group are its members, none after the last one leaves', async () => {
	const {service, journal, client} = await createStore();
	const group = new StorePartitionGroup(client, 24, 1500);
	const name = 'targets.z' as OwnershipGroupName;
	await group.join(name, 'a', 0);
	assert.deepEqual(await group.holders(name), new Set(['a']));
	await group.leave(name, 'a');
	assert.deepEqual(await group.holders(name), new Set());
	service.injectFault({isGarbled: true});
	assert.equal(await group.holders(name), undefined);
	assert.equal(journal.named('answerUnreadable').length, 1);
	client.dispose();
});
