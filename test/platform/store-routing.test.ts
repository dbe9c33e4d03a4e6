/** How long the store's answers vouch for the configuration. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreClient} from '../../platform/store-client.js';
import {StoreRouting} from '../../platform/store-routing.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {FakeClock} from '../support/fake-clock.js';
import {passTime} from '../support/pass-time.js';
import {RecordingJournal} from '../support/recording-journal.js';

/** Has one configuration, and answers each waiting read after its whole wait without a record. */
class CalmStore extends StoreClient {
	constructor(private readonly clock: FakeClock, journal: RecordingJournal) {
		super('127.0.0.1:1', journal);
	}

	override async newest() {
		return {values: new Map([['config', new TextEncoder().encode('{"version":1,"routes":[]}')]]), end: 1};
	}

	override async read(_topic: string, from: number, waitMilliseconds: number) {
		await new Promise<void>(resolve => {
			this.clock.schedule(waitMilliseconds, resolve);
		});
		return {kind: 'records' as const, records: [], next: from};
	}
}

// A caller of a queue that doesn't exist is told to come back, half of the time, though the store answers every second that
// nothing has changed. An answer without a record was given at the end of its wait, but only its sending is counted.
test('an unknown route is denied all the while the store answers', async () => {
	const clock = new FakeClock();
	const journal = new RecordingJournal();
	const table = new RoutingTable(1500, clock, journal);
	const routing = new StoreRouting(new CalmStore(clock, journal), table, clock, journal);
	routing.start();
	await passTime(clock, 50);
	const kinds = new Set<string>();
	for (let checks = 0; checks < 40; checks += 1) {
		await passTime(clock, 100);
		kinds.add(table.resolve('host', '/unknown').kind);
	}

	routing.dispose();
	assert.deepEqual([...kinds], ['unknown']);
});
