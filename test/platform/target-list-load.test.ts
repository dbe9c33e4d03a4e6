/** What the list of targets costs the store. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import type {StoreClient} from '../../platform/store-client.js';
import {TargetListCluster} from '../support/target-list-cluster.js';
import type {EntryClock} from '../support/entry-clock.js';

const entries = 300;
const zones = 3;
const targets = 3000;
/** Each target writes so often. */
const heartbeatMilliseconds = 1500;
/** What all reads of the store share, by the installations' sheets. */
const egressBytesPerSecond = 80_000_000;
/** A record's length, and that of its key. */
const headBytes = 5;
const seconds = 3;
/** What a daemon may spend on control. */
const controlBytesPerSecond = 3000;

/** Gives what the targets have written since an offset, and counts it. */
class CountingStore {
	bytes = 0;
	readonly #startedAt: number;

	constructor(private readonly clock: EntryClock) {
		this.#startedAt = clock.now();
	}

	async readLatest() {
		return {values: new Map<string, Uint8Array>(), end: 0};
	}

	async read(_topic: string, from: number) {
		const next = Math.floor((this.clock.now() - this.#startedAt) * targets / heartbeatMilliseconds);
		const records = Array.from({length: next - from}, (_, index) => recordOf(from + index));
		for (const {key, value} of records) {
			this.bytes += headBytes + key.length + value.length;
		}

		return {kind: 'records' as const, records, next};
	}
}

function recordOf(offset: number) {
	const id = offset % targets;
	return {
		key: `i-${id.toString(16).padStart(10, '0')}`,
		value: Buffer.from(JSON.stringify({
			service: 'flight-desk', addr: `10.1.64.${id % 250}:8524`, zone: 'z', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, born: 1_700_000_000_000, seq: Math.floor(offset / targets) + 1, capacity: {cpu: 64_000, mem_mb: 262_144, gpu: 0}, labels: ['a', 'r1-3'], clock_ms: offset,
		})),
	};
}

// A fleet of 300 entries and 3000 targets: every entry reads every target's heartbeats, twice what the store can give. All
// reads wait, that of the configuration as well, which is in force after ten seconds and more.
test('the entries of a fleet of 300 read no more of the list of targets than the store can give', async () => {
	const stores: CountingStore[] = [];
	const world = new TargetListCluster(Array.from({length: entries}, (_, index) => `z${index % zones}-${index}`), (_name, clock) => {
		const store = new CountingStore(clock);
		stores.push(store);
		return store as unknown as StoreClient;
	});
	await world.start();
	await world.advance((seconds * 1000) - 2000);
	const passedBefore = world.sharedBytes;
	await world.advance(1000);
	const passedBytesPerSecond = (world.sharedBytes - passedBefore) / entries;
	const known = [...world.entries.values()].map(({catalogue}) => catalogue.targets.size);
	world.dispose();
	const bytesPerSecond = stores.map(store => store.bytes).reduce((sum, bytes) => sum + bytes, 0) / seconds;
	assert.equal(bytesPerSecond <= egressBytesPerSecond, true, `${Math.round(bytesPerSecond / 1_000_000)} MB a second`);
	assert.equal(passedBytesPerSecond <= controlBytesPerSecond, true, `${Math.round(passedBytesPerSecond)} bytes a second are passed on to each entry`);
	assert.deepEqual(known.filter(count => count !== targets), [], 'all know all targets');
});
