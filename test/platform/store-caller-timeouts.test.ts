/** Storage of the learned caller timeouts. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreCallerTimeouts} from '../../platform/store-caller-timeouts.js';
import {StoreClient} from '../../platform/store-client.js';
import type {ProfileName} from '../../src/base/profile-name.js';
import {CallerTimeouts} from '../../src/features/dispatch/caller-timeouts.js';
import {advanceClock} from '../support/advance-clock.js';
import {FakeClock} from '../support/fake-clock.js';
import {RecordingJournal} from '../support/recording-journal.js';

const queue = 'queue' as ProfileName;

/** Has one stored timeout, and records what is written. */
class TimeoutStore extends StoreClient {
	readonly written: string[] = [];
	isAvailable = true;

	constructor(private readonly stored: number) {
		super('127.0.0.1:1', new RecordingJournal());
	}

	override async readLatest() {
		return {values: new Map([[queue, new TextEncoder().encode(String(this.stored))]]), end: 1};
	}

	override async read(_topic: string, from: number) {
		return {kind: 'records' as const, records: [], next: from};
	}

	override async put(_topic: string, _key: string, value: string) {
		this.written.push(value);
		return this.isAvailable;
	}
}

// Guards against restarted entries that begin with a timeout which differs by more than a resubmission's does.
test('a stored timeout is replaced once it differs by more than resubmissions are told by', async () => {
	const written: Record<number, readonly string[]> = {};
	for (const stored of [17_400, 18_700, 20_100, 21_000]) {
		const clock = new FakeClock();
		const store = new TimeoutStore(stored);
		const timeouts = new CallerTimeouts();
		const stores = new StoreCallerTimeouts(store, timeouts, clock);
		stores.start();
		for (let sample = 0; sample < 1000; sample += 1) {
			await advanceClock(clock, 25);
			timeouts.estimateAge(queue, 20_000, clock.now());
		}

		stores.dispose();
		written[stored] = store.written;
	}

	assert.deepEqual(written, {
		17_400: ['20000'], 18_700: ['20000'], 20_100: [], 21_000: ['20000'],
	});
});

// Guards against a learned timeout that is never stored because the store didn't answer the first time.
test('a timeout that could not be stored is written again', async () => {
	const clock = new FakeClock();
	const store = new TimeoutStore(17_000);
	const timeouts = new CallerTimeouts();
	const stores = new StoreCallerTimeouts(store, timeouts, clock);
	store.isAvailable = false;
	stores.start();
	for (let second = 0; second < 45; second += 1) {
		for (let sample = 0; sample < 10; sample += 1) {
			timeouts.estimateAge(queue, 20_000, clock.now());
		}

		await advanceClock(clock, 1000);
		store.isAvailable = second >= 25;
	}

	stores.dispose();
	assert.deepEqual(store.written, ['20000', '20000', '20000']);
});
