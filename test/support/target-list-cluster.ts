/** Simulated entries that share reads of the target list. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import {PoolReaderGroup} from '../../src/features/listing/pool-reader-group.js';
import {Pool} from '../../src/features/pool/pool.js';
import {PauseDetector} from '../../src/runtime/pause-detector.js';
import {StoreTargetCatalogue} from '../../platform/store-target-catalogue.js';
import type {StoreClient} from '../../platform/store-client.js';
import {EntryClock} from './entry-clock.js';
import {FakeClock} from './fake-clock.js';
import {InMemoryListStore} from './in-memory-list-store.js';
import {InMemoryNetwork} from './in-memory-network.js';
import {advanceClock} from './advance-clock.js';
import {RecordingJournal} from './recording-journal.js';

const drainMilliseconds = 2000;

type Entry = {
	readonly clock: EntryClock;
	readonly pool: Pool;
	readonly readerGroup: PoolReaderGroup;
	readonly catalogue: StoreTargetCatalogue;
	readonly address: string;
	isLeaving: boolean;
};

/** Entry names have the form `ZONE-NUMBER`. */
export class TargetListCluster {
	readonly clock = new FakeClock();
	readonly journal = new RecordingJournal();
	readonly network = new InMemoryNetwork(this.clock);
	readonly store = new InMemoryListStore();
	readonly entries = new Map<string, Entry>();
	/** Size of the list updates exchanged between entries. */
	sharedBytes = 0;

	constructor(names: readonly string[], private readonly createClient?: (name: string, clock: EntryClock) => StoreClient) {
		for (const name of names) {
			this.#add(name);
		}
	}

	/** Starts all entries; each gets the addresses of all others. */
	async start(): Promise<void> {
		this.#startEntries([...this.entries.values()]);
		await advanceClock(this.clock, 1000);
	}

	async join(name: string): Promise<void> {
		this.#add(name);
		this.#startEntries([this.entries.get(name)!]);
		await advanceClock(this.clock, 1000);
	}

	async advance(milliseconds: number): Promise<void> {
		await advanceClock(this.clock, milliseconds);
	}

	/** Ends an entry without notifying its peers. */
	kill(name: string): void {
		const {catalogue, readerGroup, pool} = this.entries.get(name)!;
		this.entries.delete(name);
		catalogue.dispose();
		readerGroup.dispose();
		pool.dispose();
		this.network.kill(name);
	}

	dispose(): void {
		for (const name of this.entries.keys()) {
			this.kill(name);
		}
	}

	/** Returns the entries that have read the store since the previous call, sorted by name. */
	takeReaders(): readonly string[] {
		const names = new Set([...this.store.reads.keys(), ...this.store.fullReads.keys()]);
		this.store.reads.clear();
		this.store.fullReads.clear();
		return [...names].sort();
	}

	/** Returns the entries that see a target in a state other than `state`: `ready`, `draining` or `gone`. */
	entriesNotInState(target: string, state: string): readonly string[] {
		return [...this.entries].filter(([, entry]) => targetStateIn(entry, target) !== state).map(([name]) => name);
	}

	#startEntries(entries: readonly Entry[]): void {
		const known = [...this.network.endpoints.values()].map(({self}) => ({address: self.peerAddress, zone: self.zone}));
		for (const {pool, readerGroup, catalogue} of entries) {
			pool.start();
			readerGroup.addPeers(known);
			pool.addPeers(known);
			catalogue.start(readerGroup);
		}
	}

	#add(name: string): void {
		const zone = name.split('-')[0]! as AvailabilityZone;
		const clock = new EntryClock(this.clock);
		const network = this.network.join(name, zone);
		this.network.receiveHandlers.set(network.self.id, (socket, read) => {
			clock.receive(socket, read);
		});
		const {journal} = this;
		const pool = new Pool({
			network,
			largestFreeCpuMillis: () => Number.POSITIVE_INFINITY,
			ownState: () => ({
				isLeaving: this.entries.get(name)?.isLeaving ?? false, routingVersion: 0, demand: [], freeCapacity: [],
			}),
			peersInUse: () => new Set<MemberId>(),
			pauses: new PauseDetector(clock),
			clock,
			journal,
		});
		const address = network.self.peerAddress;
		const readerGroup = new PoolReaderGroup({pool, self: {address, zone}, clock});
		readerGroup.onDidReceiveUpdate(({update}) => {
			this.sharedBytes += update.records.length;
		});
		const catalogue = new StoreTargetCatalogue({
			store: (this.createClient ?? ((of: string, at: EntryClock) => this.store.createClient(of, at)))(name, clock),
			zones: undefined,
			services: () => undefined,
			drainMilliseconds,
			clock,
			journal,
		});
		this.entries.set(name, {
			clock, pool, readerGroup, catalogue, address, isLeaving: false,
		});
	}
}

function targetStateIn({catalogue}: Entry, target: string): string {
	const record = catalogue.targets.get(target as InstanceId);
	return record === undefined ? 'gone' : (record.isDraining ? 'draining' : 'ready');
}
