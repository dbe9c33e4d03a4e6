/** A simulated cluster of entries and targets, wired like the daemon. */
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
import {schedulingSettingsSchema} from '../../src/features/dispatch/scheduling-settings-schema.js';
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

class InMemoryCatalogue extends TargetCatalogue {
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

/** Options of a submitted job. */
type JobOptions = {
	readonly queue?: string;
	readonly tasks?: number;
	/** Run time of each task in milliseconds, or another payload that `InMemoryTargets` knows. */
	readonly payload?: string;
	readonly declaredMilliseconds?: number;
	readonly timeoutMilliseconds?: number;
	readonly attempts?: number;
	readonly placement?: Partial<PlacementConstraints>;
};

type EntryDependencies = ConstructorParameters<typeof PooledEntry>[0];

/** Returns the dependencies that an entry is built with. */
type Customization = (name: string, dependencies: EntryDependencies, cluster: PooledCluster) => EntryDependencies;

/** A submitted job; `verdict` is set when it ends. */
type Submission = {verdict: Verdict<JobOutcome> | undefined; readonly cancel: () => void};

/** Entry names have the form `ZONE-NUMBER`. */
export class PooledCluster {
	readonly clock = new FakeClock();
	readonly journal = new RecordingJournal();
	readonly orders = new InMemoryTargets(this.clock);
	readonly network = new InMemoryNetwork(this.clock);
	readonly group = new InMemoryPartitionGroup();
	readonly entries = new Map<string, PooledEntry>();
	/** Shared by all entries. */
	readonly evacuations = new ZoneEvacuations(this.journal);
	readonly #catalogue = new InMemoryCatalogue();
	readonly #dependencies = new Map<string, PausableDependencies>();

	/** `customizeDependencies` can replace the dependencies of an entry. Peers take `formerEntries` for entries of a former version. */
	constructor(
		entryNames: readonly string[],
		targetsInZone: number,
		private readonly customizeDependencies: Customization = (_, dependencies) => dependencies,
		formerEntries: readonly string[] = [],
	) {
		for (const name of entryNames) {
			this.#addEntry(name, formerEntries.includes(name));
		}

		for (const zone of new Set(entryNames.map(name => zoneOf(name)))) {
			for (let index = 0; index < targetsInZone; index += 1) {
				this.addTarget(`${zone}-target-${index}`, zone);
			}
		}
	}

	/** Starts and connects all entries, and waits until targets have owners. */
	async start(): Promise<void> {
		for (const entry of this.entries.values()) {
			entry.start();
		}

		this.network.connect();
		await advanceClock(this.clock, 1000);
	}

	/** Starts all entries, which connect by a list of peer addresses, as from a directory. */
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

	/** Ends an entry without notifying its peers. */
	kill(name: string): void {
		this.entries.get(name)!.dispose();
		this.network.kill(name);
	}

	/** Pauses an entry until `resume`; incoming messages are queued. The monotonic clock runs on only if the process is frozen. */
	pause(name: string, kind: 'suspended' | 'frozen'): void {
		this.#dependencies.get(name)!.pause(kind);
	}

	/**
	 * Resumes an entry. A process that was frozen while it waited for events runs its timers first; one that was handling
	 * events, or was suspended, reads messages first.
	 */
	resume(name: string, first: 'messages' | 'timers' = 'messages'): void {
		this.#dependencies.get(name)!.resume(() => {
			if (first === 'timers') {
				this.clock.advance(0);
			}
		});
	}

	submit(entry: string, id: string, options: JobOptions = {}): Submission {
		const {queue = 'queue', tasks = 1, payload = '100', declaredMilliseconds = 100, timeoutMilliseconds = 1500, attempts = 3, placement = {}} = options;
		const route: QueueRoute = {
			queue: queue as ProfileName, host: 'host', pathPrefix: '/', service, priority: 0, attempts, stretch: 1.6, slackMilliseconds: 60,
		};
		const caller = new CancellationSource();
		const submitted: Submission = {
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

	/** Tasks that are running on any target. */
	runningTasks(): readonly string[] {
		return [...this.#catalogue.targets.keys()].flatMap(id => this.orders.running(id));
	}

	get #shared() {
		return {clock: this.clock, orders: this.orders, group: this.group};
	}

	#addEntry(name: string, isFormer: boolean): void {
		const dependencies = new PausableDependencies({...this.#shared, network: this.network.join(name, zoneOf(name), isFormer)});
		const {clock, network, group, orders} = dependencies;
		this.#dependencies.set(name, dependencies);
		this.entries.set(name, new PooledEntry(this.customizeDependencies(name, {
			zone: zoneOf(name) as AvailabilityZone,
			member: name,
			leaseMilliseconds: 1000,
			network,
			group,
			catalogue: this.#catalogue,
			evacuations: this.evacuations,
			orders,
			routing: new RoutingTable(1500, clock, this.journal),
			scheduling: schedulingSettingsSchema.parse({}),
			clock,
			journal: this.journal,
		}, this)));
	}
}

function zoneOf(entryName: string): string {
	return entryName.split('-')[0]!;
}
