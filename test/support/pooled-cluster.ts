/** Several entries and their targets in memory, wired as the daemon wires them. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import {CancellationSource} from '../../src/base/cancellation-source.js';
import {Emitter} from '../../src/base/emitter.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {JobId} from '../../src/base/job-id.js';
import type {ProfileName} from '../../src/base/profile-name.js';
import {Resources} from '../../src/base/resources.js';
import type {ServiceName} from '../../src/base/service-name.js';
import type {Verdict} from '../../src/base/verdict.js';
import {PooledEntry} from '../../src/entries/edge/pooled-entry.js';
import type {JobOutcome} from '../../src/features/dispatch/job-outcome.js';
import type {QueueRoute} from '../../src/features/routing/queue-route.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {TargetCatalogue} from '../../src/features/targets/target-catalogue.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';
import {ZoneEvacuations} from '../../src/features/targets/zone-evacuations.js';
import type {PlacementConstraints} from '../../src/features/execution/placement-constraints.js';
import {unconstrainedPlacement} from './unconstrained-placement.js';
import {FakeClock} from './fake-clock.js';
import {InMemoryPartitionGroup} from './in-memory-partition-group.js';
import {InMemoryNetwork} from './in-memory-network.js';
import {InMemoryTargets} from './in-memory-targets.js';
import {advanceClock} from './advance-clock.js';
import {PausableDependencies} from './pausable-dependencies.js';
import {RecordingJournal} from './recording-journal.js';

const service = 'service' as ServiceName;

class ModelCatalogue extends TargetCatalogue {
	readonly #records = new Map<InstanceId, TargetRecord>();
	readonly #change = new Emitter<void>();

	override get targets() {
		return this.#records;
	}

	override get onDidChange() {
		return this.#change.event;
	}

	put(record: TargetRecord): void {
		this.#records.set(record.id, record);
		this.#change.fire();
	}
}

/** What a test's job may differ in. */
type JobOptions = {
	readonly tasks?: number;
	/** The milliseconds that each task runs, or what else it does. */
	readonly payload?: string;
	readonly declaredMilliseconds?: number;
	readonly timeoutMilliseconds?: number;
	readonly attempts?: number;
	readonly placement?: Partial<PlacementConstraints>;
};

/** What an entry here is built from. */
type EntryParts = ConstructorParameters<typeof PooledEntry>[0];

/** A job under way in a test. */
type Submitted = {verdict: Verdict<JobOutcome> | undefined; readonly cancel: () => void};

/** One world for each test; names of entries are `ZONE-NUMBER`. */
export class PooledCluster {
	readonly clock = new FakeClock();
	readonly journal = new RecordingJournal();
	readonly orders = new InMemoryTargets(this.clock);
	readonly network = new InMemoryNetwork(this.clock);
	readonly group = new InMemoryPartitionGroup();
	readonly entries = new Map<string, PooledEntry>();
	/** One word of the operators for all entries. */
	readonly evacuations = new ZoneEvacuations(this.journal);
	readonly #catalogue = new ModelCatalogue();
	readonly #surroundings = new Map<string, PausableDependencies>();

	/** `surround` may put an entry into other surroundings than the world's own. */
	constructor(entryNames: readonly string[], targetsInZone: number, private readonly surround: (name: string, parts: EntryParts, world: PooledCluster) => EntryParts = (_, parts) => parts) {
		for (const name of entryNames) {
			this.#addEntry(name);
		}

		for (const zone of new Set(entryNames.map(name => zoneOf(name)))) {
			for (let index = 0; index < targetsInZone; index += 1) {
				this.addTarget(`${zone}-target-${index}`, zone);
			}
		}
	}

	/** Starts all entries and lets them find each other and own their targets. */
	async start(): Promise<void> {
		for (const entry of this.entries.values()) {
			entry.start();
		}

		this.network.connect();
		await advanceClock(this.clock, 1000);
	}

	/** Starts all entries as a directory of them would let them find each other. */
	async startWithPeerList(): Promise<void> {
		for (const entry of this.entries.values()) {
			entry.start();
		}

		const known = [...this.network.endpoints.values()].map(({self}) => ({address: self.peerAddress, zone: self.zone}));
		for (const entry of this.entries.values()) {
			entry.pool.addPeers(known);
		}

		await advanceClock(this.clock, 1000);
	}

	addTarget(name: string, zone: string, isDraining = false, labels: readonly string[] = []): void {
		this.#catalogue.put({
			id: name as InstanceId, incarnation: undefined, address: `${name}:1`, zone: zone as AvailabilityZone, service, isDraining, capacity: new Resources(64_000, 262_144, 0), labels,
		});
	}

	/** Ends a process without a word. */
	kill(name: string): void {
		this.entries.get(name)!.dispose();
		this.network.kill(name);
	}

	/** A process stands still until `resume`; what arrives meanwhile waits. Only a frozen one's steady clock counts the time. */
	pause(name: string, kind: 'suspended' | 'frozen'): void {
		this.#surroundings.get(name)!.pause(kind);
	}

	/**
	 * What comes first as a process goes on hangs on what it was doing: one that is stopped while it waits for events runs its
	 * timers first, one that was handling them, or whose clock counted nothing, reads on.
	 */
	resume(name: string, first: 'messages' | 'timers' = 'messages'): void {
		this.#surroundings.get(name)!.resume(() => {
			if (first === 'timers') {
				this.clock.advance(0);
			}
		});
	}

	submit(entry: string, id: string, options: JobOptions = {}): Submitted {
		const {tasks = 1, payload = '100', declaredMilliseconds = 100, timeoutMilliseconds = 1500, attempts = 3, placement = {}} = options;
		const route: QueueRoute = {
			queue: 'queue' as ProfileName, host: 'host', pathPrefix: '/', service, priority: 0, attempts, stretch: 1.6, slackMilliseconds: 60,
		};
		const caller = new CancellationSource();
		const submitted: Submitted = {
			verdict: undefined,
			cancel() {
				caller.cancel();
			},
		};
		void (async () => {
			submitted.verdict = await this.entries.get(entry)!.dispatcher.submit({
				id: id as JobId,
				route,
				payload,
				shape: {
					count: tasks, need: new Resources(27_000, 64, 0), declaredMilliseconds, place: {...unconstrainedPlacement, ...placement},
				},
				callerTimeoutMilliseconds: timeoutMilliseconds,
			}, caller.token);
		})();

		return submitted;
	}

	async advance(milliseconds: number): Promise<void> {
		await advanceClock(this.clock, milliseconds);
	}

	/** All tasks that run anywhere. */
	runningTasks(): readonly string[] {
		return [...this.#catalogue.targets.keys()].flatMap(id => this.orders.running(id));
	}

	get #shared() {
		return {clock: this.clock, orders: this.orders, group: this.group};
	}

	#addEntry(name: string): void {
		const surroundings = new PausableDependencies({...this.#shared, network: this.network.join(name, zoneOf(name))});
		const {clock, network, group, orders} = surroundings;
		this.#surroundings.set(name, surroundings);
		this.entries.set(name, new PooledEntry(this.surround(name, {
			zone: zoneOf(name) as AvailabilityZone,
			member: name,
			leaseMilliseconds: 1000,
			network,
			group,
			catalogue: this.#catalogue,
			evacuations: this.evacuations,
			orders,
			routing: new RoutingTable(1500, clock, this.journal),
			clock,
			journal: this.journal,
		}, this)));
	}
}

function zoneOf(entryName: string): string {
	return entryName.split('-')[0]!;
}
