/** An entry without its interfaces to the outside: what it owns, what it shares, and its jobs. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {hashText} from '../../base/hash-text.js';
import {Random} from '../../base/random.js';
import {repeat} from '../../base/repeat.js';
import {Dispatcher} from '../../features/dispatch/dispatcher.js';
import {CallerTimeouts} from '../../features/dispatch/caller-timeouts.js';
import {LeastLaxity} from '../../features/dispatch/least-laxity.js';
import {Executor} from '../../features/execution/executor.js';
import {LossHistory} from '../../features/execution/loss-history.js';
import {Ownership} from '../../features/ownership/ownership.js';
import type {PartitionGroup} from '../../features/ownership/partition-group.js';
import {MeanRunTimes} from '../../features/placement/mean-run-times.js';
import {TargetHealth} from '../../features/placement/target-health.js';
import type {NodeState} from '../../features/pool/node-state.js';
import {Pool} from '../../features/pool/pool.js';
import {RemoteRuns} from '../../features/pool/remote-runs.js';
import {zonesToCover} from '../../features/pool/zone-cover.js';
import type {RoutingTable} from '../../features/routing/routing-table.js';
import type {TargetCatalogue} from '../../features/targets/target-catalogue.js';
import type {TargetOrders} from '../../features/targets/target-orders.js';
import type {ZoneEvacuations} from '../../features/targets/zone-evacuations.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {PauseWatch} from '../../runtime/pause-watch.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';

/** How long the pool may take to form before a zone without an entry is taken as such. */
const coverDelayMilliseconds = 1500;
const coverCheckMilliseconds = 200;

/** What an entry is built from. */
type PooledEntryParts = {
	readonly zone: AvailabilityZone;
	/** Names this life of the entry in the store's groups. */
	readonly member: string;
	/** The longest lease that a target grants. */
	readonly leaseMilliseconds: number;
	readonly network: PeerNetwork;
	readonly group: PartitionGroup;
	readonly catalogue: TargetCatalogue;
	readonly evacuations: ZoneEvacuations;
	readonly orders: TargetOrders;
	readonly routing: RoutingTable;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Connects ownership, execution, pool and dispatch; tests and the emulator build entries from it as the daemon does. */
export class PooledEntry implements Disposable {
	readonly executor: Executor;
	readonly ownership: Ownership;
	readonly pool: Pool;
	readonly dispatcher: Dispatcher;
	readonly callerTimeouts = new CallerTimeouts();
	readonly pauses: PauseWatch;
	readonly #store = new DisposableStore();
	readonly #losses: LossHistory;
	#isLeaving = false;

	constructor(private readonly parts: PooledEntryParts) {
		const {zone, member, leaseMilliseconds, network, group, catalogue, evacuations, orders, clock, journal} = parts;
		const own = this.#store;
		this.#losses = new LossHistory(clock, journal);
		this.pauses = own.add(new PauseWatch(clock));
		this.executor = own.add(new Executor({
			leaseMilliseconds, orders, health: new TargetHealth(journal), losses: this.#losses, clock, journal,
		}));
		this.pool = own.add(new Pool({
			network,
			ownState: () => this.#state(),
			peersInUse: () => new Set([...this.executor.requesters(), ...this.dispatcher.jobs.owners()]),
			pauses: this.pauses,
			clock,
			journal,
		}));
		own.add(new RemoteRuns(this.pool, this.executor, clock, journal));
		this.ownership = own.add(new Ownership({
			zone, member, store: group, catalogue, evacuations, executor: this.executor, orders, clock, journal,
		}));
		this.dispatcher = own.add(new Dispatcher({
			zone,
			executor: this.executor,
			pool: this.pool,
			order: new LeastLaxity(),
			leaseMilliseconds,
			runTimes: new MeanRunTimes(),
			timeouts: this.callerTimeouts,
			losses: this.#losses,
			pauses: this.pauses,
			random: new Random(hashText(member)),
			clock,
			journal,
		}));
		this.#connect();
	}

	/** Joins its zone's group and begins to talk to the others. */
	start(): void {
		const {clock} = this.parts;
		this.pool.start();
		this.ownership.coverZones(new Set());
		clock.schedule(coverDelayMilliseconds, () => {
			this.#store.add(repeat(clock, coverCheckMilliseconds, () => {
				this.#cover();
			}));
		});
	}

	/** Gives all targets to the other entries, with what runs there. Its own jobs go on, on the others' targets. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.pool.broadcastState();
		await this.ownership.leave();
	}

	dispose(): void {
		this.#store.dispose();
	}

	#connect(): void {
		const {routing} = this.parts;
		const own = this.#store;
		own.add(this.executor.onDidCompareClocks(uncounted => {
			this.pauses.noteUncounted(uncounted);
		}));
		own.add(this.pauses.onDidPause(pause => {
			this.#verify(pause.milliseconds);
		}));
		own.add(this.pool.onDidDetectEviction(() => {
			this.pauses.doubt();
			this.executor.pollTargets();
		}));
		own.add(this.executor.onDidChangeFreeCapacity(() => {
			this.pool.announceCapacity();
		}));
		own.add(this.ownership.onDidHandOver(handovers => {
			this.dispatcher.recordHandovers(handovers, this.pool.self);
			const requesters = new Set(handovers.flatMap(({runs}) => runs.map(({requester}) => requester)));
			this.pool.broadcast({kind: 'handover', handovers, requesters: this.pool.describePeers(requesters)});
		}));
		own.add(this.#losses.onDidRecord(loss => {
			this.pool.broadcast({kind: 'loss', loss});
		}));
		own.add(routing.onDidChange(() => {
			this.pool.broadcastState();
		}));
		own.add(this.pool.onDidReceive(({from, message}) => {
			if (message.kind === 'handover') {
				this.ownership.renew();
			} else if (message.kind === 'state' && message.state.routingVersion > routing.version) {
				this.pool.send(from.id, {kind: 'wantRouting'});
			} else if (message.kind === 'wantRouting' && routing.configuration !== undefined) {
				this.pool.send(from.id, {kind: 'routing', configuration: routing.configuration});
			} else if (message.kind === 'loss') {
				this.#losses.apply(message.loss);
			} else if (message.kind === 'routing') {
				routing.update(message.configuration, 'peer');
			}
		}));
	}

	/** The targets' clocks tell a suspension from a time of day that was set; without targets it's taken for one. */
	#verify(milliseconds: number): void {
		this.executor.pollTargets();
		if (this.executor.ownedTargets === 0) {
			this.pauses.noteUncounted({milliseconds, since: this.parts.clock.now()});
		}
	}

	#state(): NodeState {
		return {
			isLeaving: this.#isLeaving, routingVersion: this.parts.routing.version, demand: this.dispatcher.jobs.minimumNeeds, freeCapacity: this.executor.freeCapacity,
		};
	}

	#cover(): void {
		if (this.#isLeaving) {
			return;
		}

		const zones = [...this.parts.catalogue.targets.values()].map(target => target.zone);
		const covered = zonesToCover(zones, {id: this.pool.self, zone: this.parts.zone, isLeaving: false}, this.pool.members);
		this.ownership.coverZones(covered);
	}
}
