/** The target catalogue, with the store's stand-in. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {StoreTargetCatalogue} from '../../platform/store-target-catalogue.js';
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {ServiceName} from '../../src/base/service-name.js';
import {SystemClock} from '../../src/base/system-clock.js';
import {createStore} from '../support/create-store.js';
import {waitUntil} from '../support/wait-until.js';

/** Creates a catalogue that is disposed after the test, even if it fails. */
async function catalogueOf(context: TestContext, services: () => ReadonlySet<ServiceName> | undefined = () => new Set(['s' as ServiceName])) {
	const {service, journal, client} = await createStore();
	const catalogue = new StoreTargetCatalogue({
		store: client, zones: new Set(['z' as AvailabilityZone]), services, drainMilliseconds: 2000, clock: new SystemClock(), journal,
	});
	context.after(() => {
		catalogue.dispose();
		client.dispose();
	});
	return {service, journal, catalogue};
}

function targetOf(state: string, seq: number, born?: number): string {
	return JSON.stringify({
		service: 's', addr: '127.0.0.1:1', zone: 'z', state, born, seq, capacity: {cpu: 64_000, mem_mb: 1000, gpu: 0}, labels: ['a'],
	});
}

// A lagging store may return old records; a draining target would get tasks again.
test('an older record of a target does not replace a newer one', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const id = 'i-1' as InstanceId;
	service.put('keyed.servers', id, targetOf('ready', 4));
	catalogue.start();
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === false);
	service.put('keyed.servers', id, targetOf('draining', 5));
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === true);
	service.put('keyed.servers', id, targetOf('ready', 4));
	service.put('keyed.servers', id, targetOf('ready', 3));
	service.put('keyed.servers', 'i-2', targetOf('ready', 1));
	await waitUntil(() => catalogue.targets.size === 2);
	assert.equal(catalogue.targets.get(id)?.isDraining, true);
	assert.deepEqual(journal.named('targetEntryPassedOver').map(({target, sequence, keptSequence}) => [target, sequence, keptSequence]), [['i-1', 4, 5]]);
});

// Each incarnation numbers its records from 1; the announcement that it drains must not count as older.
test('a target that restarts under its id and drains gets no new tasks', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const id = 'i-1' as InstanceId;
	service.put('keyed.servers', id, targetOf('ready', 20, 1_700_000_000_000));
	catalogue.start();
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === false);
	service.put('keyed.servers', id, targetOf('ready', 1, 1_700_000_030_000));
	service.put('keyed.servers', id, targetOf('draining', 2, 1_700_000_030_000));
	service.put('keyed.servers', 'i-2', targetOf('ready', 1, 1_700_000_000_000));
	await waitUntil(() => catalogue.targets.size === 2);
	assert.equal(catalogue.targets.get(id)?.isDraining, true);
});

// Without a change event, orders would go on to the address of the previous incarnation.
test('a restarted target fires a change event', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const id = 'i-1' as InstanceId;
	let changes = 0;
	service.put('keyed.servers', id, targetOf('ready', 20, 1_700_000_000_000));
	catalogue.start();
	await waitUntil(() => catalogue.targets.size === 1);
	catalogue.onDidChange(() => {
		changes += 1;
	});
	service.put('keyed.servers', id, targetOf('ready', 1, 1_700_000_030_000).replace('127.0.0.1:1', '127.0.0.1:2'));
	await waitUntil(() => catalogue.targets.get(id)?.address === '127.0.0.1:2');
	assert.equal(changes, 1);
	assert.deepEqual(journal.named('catalogueChanged').map(({change}) => change), ['ready', 'restarted']);
});

// A delayed write of the previous incarnation may have a higher sequence number.
test('a late record of a previous incarnation has no effect', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const id = 'i-1' as InstanceId;
	service.put('keyed.servers', id, targetOf('draining', 2, 1_700_000_030_000));
	catalogue.start();
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === true);
	service.put('keyed.servers', id, targetOf('ready', 21, 1_700_000_000_000));
	service.put('keyed.servers', 'i-2', targetOf('ready', 1));
	await waitUntil(() => catalogue.targets.size === 2);
	assert.equal(catalogue.targets.get(id)?.isDraining, true);
	assert.deepEqual(journal.named('targetEntryPassedOver').map(({target, keptIncarnation}) => [target, keptIncarnation]), [['i-1', 1_700_000_030_000]]);
});

// Another program overwrites the record of a target and omits its start time.
test('a record without a start time marks a target that has one as corrupt', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const id = 'i-1' as InstanceId;
	service.put('keyed.servers', id, targetOf('ready', 4, 1_700_000_000_000));
	catalogue.start();
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === false);
	service.put('keyed.servers', id, targetOf('ready', 5));
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === true);
	assert.match(String(journal.named('answerUnreadable')[0]?.detail), /start is missing/v);
	service.put('keyed.servers', id, targetOf('ready', 5, 1_700_000_000_000));
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === false);
});

test('a target that disappears from the store is removed after a delay', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	service.put('keyed.servers', 'i-1', targetOf('ready', 1));
	catalogue.start();
	await waitUntil(() => catalogue.targets.size === 1);
	service.put('keyed.servers', 'i-1', '');
	service.put('keyed.servers', 'i-2', targetOf('ready', 1));
	await waitUntil(() => catalogue.targets.size === 2);
	await waitUntil(() => catalogue.targets.size === 1);
	assert.deepEqual(journal.named('catalogueChanged').map(({target, change}) => `${String(target)} ${String(change)}`), ['i-1 ready', 'i-2 ready', 'i-1 gone']);
});

// Malformed records of other programs must neither become targets nor hide the valid records of the same read.
test('malformed records are ignored, valid ones are used', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const valid = JSON.parse(targetOf('ready', 1)) as Record<string, unknown>;
	for (const [index, change] of [
		{addr: undefined},
		{addr: 7},
		{addr: 'somewhere:80'},
		{addr: '10.0.0.1:1\r\nx: y'},
		{state: 'napping'},
		{service: 'unknown'},
		{service: null},
		{zone: 'elsewhere'},
		{seq: 'one'},
		{capacity: []},
		{capacity: {cpu: -1}},
		{labels: 'a'},
		{born: 'today'},
		{born: 1.5},
		{born: null},
	].entries()) {
		service.put('keyed.servers', `bad-${index}`, JSON.stringify({...valid, ...change}));
	}

	for (const [index, text] of ['', 'null', '[]', '{"service":', '\uFFFD\u0000', '17'].entries()) {
		service.put('keyed.servers', `odd-${index}`, text);
	}

	service.put('keyed.servers', 'no id\r\n', targetOf('ready', 1));
	service.put('keyed.servers', 'i-1', targetOf('ready', 1));
	catalogue.start();
	await waitUntil(() => catalogue.targets.size > 0);
	assert.deepEqual([...catalogue.targets.keys()], ['i-1']);
	assert.equal(journal.named('answerUnreadable').length, 1);
});

// Keeping the target ready would hide that it drains; removing it would restart its runs elsewhere.
test('a target with a corrupt record gets no new tasks until it writes a valid one', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const id = 'i-1' as InstanceId;
	service.put('keyed.servers', id, targetOf('ready', 4));
	catalogue.start();
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === false);
	service.put('keyed.servers', id, '{"state":"ready"}');
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === true);
	service.put('keyed.servers', id, targetOf('ready', 4));
	await waitUntil(() => catalogue.targets.get(id)?.isDraining === false);
});

test('targets of a service are published once the configuration names it', async context => {
	const named = new Set(['other' as ServiceName]);
	const {service, catalogue} = await catalogueOf(context, () => named);
	service.put('keyed.servers', 'i-1', targetOf('ready', 1));
	service.put('keyed.servers', 'i-2', targetOf('ready', 1).replace('"s"', '"other"'));
	catalogue.start();
	await waitUntil(() => catalogue.targets.size === 1);
	assert.deepEqual([...catalogue.targets.keys()], ['i-2']);
	named.add('s' as ServiceName);
	await waitUntil(() => catalogue.targets.size === 2);
});

test('heartbeats do not fire change events, later state changes are detected', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	let changes = 0;
	service.put('keyed.servers', 'i-1', targetOf('ready', 9));
	catalogue.start();
	await waitUntil(() => catalogue.targets.size === 1);
	catalogue.onDidChange(() => {
		changes += 1;
	});
	service.put('keyed.servers', 'i-1', targetOf('ready', 10));
	service.put('keyed.servers', 'i-1', targetOf('ready', 100));
	service.put('keyed.servers', 'i-1', targetOf('draining', 99));
	service.put('keyed.servers', 'i-2', targetOf('ready', 1));
	await waitUntil(() => catalogue.targets.size === 2);
	assert.deepEqual({changes, isDraining: catalogue.targets.get('i-1' as InstanceId)?.isDraining}, {changes: 1, isDraining: false});
	service.put('keyed.servers', 'i-1', targetOf('draining', 101));
	await waitUntil(() => catalogue.targets.get('i-1' as InstanceId)?.isDraining === true);
});
