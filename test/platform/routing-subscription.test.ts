/** How long the store's answers vouch for the configuration. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreClient} from '../../platform/store-client.js';
import {RoutingSubscription} from '../../platform/routing-subscription.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {ZoneEvacuations} from '../../src/features/targets/zone-evacuations.js';
import {FakeClock} from '../support/fake-clock.js';
import {advanceClock} from '../support/advance-clock.js';
import {RecordingJournal} from '../support/recording-journal.js';

/** Has one configuration, and answers each waiting read after a share of its wait without a record. */
class CalmStore extends StoreClient {
	constructor(private readonly clock: FakeClock, journal: RecordingJournal, private readonly waitedShare = 1) {
		super('127.0.0.1:1', journal);
	}

	override async readLatest() {
		return {values: new Map([['config', new TextEncoder().encode('{"version":1,"routes":[]}')]]), end: 1};
	}

	override async read(_topic: string, from: number, waitMilliseconds: number) {
		await new Promise<void>(resolve => {
			this.clock.schedule(waitMilliseconds * this.waitedShare, resolve);
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
	const routing = new RoutingSubscription({
		store: new CalmStore(clock, journal), table, evacuations: new ZoneEvacuations(journal), maxAgeMilliseconds: 1500, clock, journal,
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

// A machine is suspended while a read waits at the store, and its steady clock with it: when it wakes, the answer is there
// after a small part of the wait. Counted as if the whole wait had passed, it would vouch for a time yet to come, and a
// caller of a route that was added meanwhile would be told that there's no such queue.
test('an answer before the end of its wait vouches only for the time when it was asked for', async () => {
	const clock = new FakeClock();
	const journal = new RecordingJournal();
	const table = new RoutingTable(1500, clock, journal);
	const routing = new RoutingSubscription({
		store: new CalmStore(clock, journal, 0.5), table, evacuations: new ZoneEvacuations(journal), maxAgeMilliseconds: 1500, clock, journal,
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
