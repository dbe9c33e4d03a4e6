/** Load of the target list on the store and between entries. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import type {StoreClient} from '../../platform/store-client.js';
import {TargetListCluster} from '../support/target-list-cluster.js';
import type {EntryClock} from '../support/entry-clock.js';

const entries = 300;
const zones = 3;
const targets = 3000;
/** Interval of a target's writes. */
const heartbeatMilliseconds = 1500;
/** Read bandwidth of the store. */
const egressBytesPerSecond = 80_000_000;
/** Record length (4 bytes) and key length (1 byte). */
const headBytes = 5;
const seconds = 3;
/** Bandwidth budget of a daemon for control traffic. */
const controlBytesPerSecond = 3000;

/** Returns the targets' writes since an offset and counts their bytes. */
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

// If every entry read all heartbeats, the store would be overloaded and configuration changes would be delayed.
test('300 entries read the target list within the bandwidth of the store', async () => {
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
	assert.equal(bytesPerSecond <= egressBytesPerSecond, true, `${Math.round(bytesPerSecond / 1_000_000)} MB/s are read from the store`);
	assert.equal(passedBytesPerSecond <= controlBytesPerSecond, true, `${Math.round(passedBytesPerSecond)} bytes/s are sent to each entry`);
	assert.deepEqual(known.filter(count => count !== targets), [], 'all entries know all targets');
});
