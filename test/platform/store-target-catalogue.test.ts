/** The list of targets, against the store's stand-in with its faults. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {StoreTargetCatalogue} from '../../platform/store-target-catalogue.js';
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {ServiceName} from '../../src/base/service-name.js';
import {SystemClock} from '../../src/base/system-clock.js';
import {createStore} from '../support/create-store.js';
import {waitUntil} from '../support/wait-until.js';

/** The catalogue goes with its test, also where that fails: it would follow the store for ever. */
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

// A store that is behind gives an old entry of a target after the newer one: the target, which is leaving, would get work.
test('a target\'s older entry never replaces its newer one', async context => {
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

// Callers' tasks went to a target for five seconds after the store had accepted that it leaves. It had crashed and started
// again under its id before, and numbers its entries from one in each life: every entry of the fleet kept the former life's
// twentieth, and passed the announcement over as an older statement.
test('a target that started again under its id, and leaves, gets nothing new', async context => {
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

// A target starts again under its id as another kind of machine, at another address. Whoever orders it went on by what its former
// life had said, until something else changed in the list.
test('a target that started again is news to those who order it', async context => {
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

// The store carries a write of a target's former life out late, after the next life has announced that it leaves. Its number is
// the higher one, and taken for news it would have the target get tasks again.
test('a late entry of a target\'s former life has no effect', async context => {
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

// Somebody else overwrites the entry of a target that states its start, and leaves that out.
test('an entry without a start spoils that of a target which states one', async context => {
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

test('a target that went from the list is kept for a while, and dropped then', async context => {
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

// A program of somebody else writes into the list: an entry with a field missing, one of another type, one in a state that
// nobody knows, bytes that are no text. Taken for targets they would be dialled and sent tasks; refused as a whole with the
// read they came in, they would hide the sound ones.
test('entries that are no targets name none, and the others hold', async context => {
	const {service, journal, catalogue} = await catalogueOf(context);
	const sound = JSON.parse(targetOf('ready', 1)) as Record<string, unknown>;
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
		service.put('keyed.servers', `bad-${index}`, JSON.stringify({...sound, ...change}));
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

// Somebody overwrites a target's entry with garbage. Left in force, the old entry would hide that the target drains or has
// gone; dropped at once, its runs would be begun elsewhere beside themselves.
test('a target whose entry was spoilt gets nothing new until it has written again', async context => {
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

test('targets of a service are there once the configuration names it', async context => {
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

test('a target that only counts its writings up stays as it is, and is missed when it goes', async context => {
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
