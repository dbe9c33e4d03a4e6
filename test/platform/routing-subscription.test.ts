/** Confirmation of the configuration by responses of the store. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreClient} from '../../platform/store-client.js';
import {RoutingSubscription} from '../../platform/routing-subscription.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {ZoneEvacuations} from '../../src/features/targets/zone-evacuations.js';
import {FakeClock} from '../support/fake-clock.js';
import {advanceClock} from '../support/advance-clock.js';
import {RecordingJournal} from '../support/recording-journal.js';

/** Has one configuration; each long poll returns no record after a share of its timeout. */
class IdleStore extends StoreClient {
	constructor(private readonly clock: FakeClock, journal: RecordingJournal, private readonly waitShare = 1) {
		super('127.0.0.1:1', journal);
	}

	override async readLatest() {
		return {values: new Map([['config', new TextEncoder().encode('{"version":1,"routes":[]}')]]), end: 1};
	}

	override async read(_topic: string, from: number, waitMilliseconds: number) {
		await new Promise<void>(resolve => {
			this.clock.schedule(waitMilliseconds * this.waitShare, resolve);
		});
		return {kind: 'records' as const, records: [], next: from};
	}
}

// An empty response confirms the configuration until the end of the long poll, not only until its start.
test('an unknown route stays unknown while the store responds', async () => {
	const clock = new FakeClock();
	const journal = new RecordingJournal();
	const table = new RoutingTable(1500, clock, journal);
	const routing = new RoutingSubscription({
		store: new IdleStore(clock, journal), table, evacuations: new ZoneEvacuations(journal), maxAgeMilliseconds: 1500, clock, journal,
	});
	routing.start();
	await advanceClock(clock, 50);
	const kinds = new Set<string>();
	for (let checks = 0; checks < 40; checks += 1) {
		await advanceClock(clock, 100);
		kinds.add(table.resolve('host', '/unknown').kind);
	}

	routing.dispose();
	assert.deepEqual([...kinds], ['unknown']);
});

// After the machine and its clock were suspended a response seems early; it must not confirm the configuration for the future.
test('a response before the end of the long poll confirms only the time of the request', async () => {
	const clock = new FakeClock();
	const journal = new RecordingJournal();
	const table = new RoutingTable(1500, clock, journal);
	const routing = new RoutingSubscription({
		store: new IdleStore(clock, journal, 0.5), table, evacuations: new ZoneEvacuations(journal), maxAgeMilliseconds: 1500, clock, journal,
	});
	routing.start();
	await advanceClock(clock, 600);
	const ages: number[] = [];
	for (let checks = 0; checks < 10; checks += 1) {
		await advanceClock(clock, 100);
		ages.push(table.ageMilliseconds);
	}

	routing.dispose();
	assert.equal(Math.min(...ages) >= 500, true);
});
