/** The core of an entry, without its external interfaces: target ownership, pool membership and job dispatch. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {hashText} from '../../base/hash-text.js';
import {Random} from '../../base/random.js';
import {repeat} from '../../base/repeat.js';
import {BacklogExchange} from '../../features/backlog/backlog-exchange.js';
import {ownBacklog} from '../../features/backlog/own-backlog.js';
import {WaitingWork} from '../../features/backlog/waiting-work.js';
import {Dispatcher} from '../../features/dispatch/dispatcher.js';
import {CallerTimeouts} from '../../features/dispatch/caller-timeouts.js';
import {DisabledForecast} from '../../features/dispatch/disabled-forecast.js';
import {FleetForecast} from '../../features/dispatch/fleet-forecast.js';
import {FreePlaces} from '../../features/dispatch/free-places.js';
import {LeastLaxity} from '../../features/dispatch/least-laxity.js';
import type {SchedulingSettings} from '../../features/dispatch/scheduling-settings.js';
import {Executor} from '../../features/execution/executor.js';
import {LossHistory} from '../../features/execution/loss-history.js';
import {TargetSpeeds} from '../../features/execution/target-speeds.js';
import {Ownership} from '../../features/ownership/ownership.js';
import type {PartitionGroup} from '../../features/ownership/partition-group.js';
import {MeanRunTimes} from '../../features/placement/mean-run-times.js';
import {NormalRunTimes} from '../../features/placement/normal-run-times.js';
import {TargetHealth} from '../../features/placement/target-health.js';
import type {EntryState} from '../../features/pool/entry-state.js';
import {Pool} from '../../features/pool/pool.js';
import {RemoteRuns} from '../../features/pool/remote-runs.js';
import {zonesToCover} from '../../features/pool/zone-cover.js';
import type {RoutingTable} from '../../features/routing/routing-table.js';
import {Takeovers} from '../../features/takeovers/takeovers.js';
import type {TargetCatalogue} from '../../features/targets/target-catalogue.js';
import type {TargetOrders} from '../../features/targets/target-orders.js';
import type {ZoneEvacuations} from '../../features/targets/zone-evacuations.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {PauseDetector} from '../../runtime/pause-detector.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {PauseVerification} from './pause-verification.js';

/** Delay after the start before zones without entries are covered, so that the pool can form first. */
const coverDelayMilliseconds = 1500;
const coverIntervalMilliseconds = 200;

/** Dependencies of an entry. */
type PooledEntryParts = {
	readonly zone: AvailabilityZone;
	/** The name of this process in the store's groups; it differs after each restart. */
	readonly member: string;
	/** The longest lease that a target grants, in milliseconds. */
	readonly leaseMilliseconds: number;
	readonly network: PeerNetwork;
	readonly group: PartitionGroup;
	readonly catalogue: TargetCatalogue;
	readonly evacuations: ZoneEvacuations;
	readonly orders: TargetOrders;
	readonly routing: RoutingTable;
	/** The decisions under load that this entry makes. */
	readonly scheduling: SchedulingSettings;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Connects ownership, execution, pool and dispatch. Used by the daemon and by tests. */
export class PooledEntry implements Disposable {
	readonly executor: Executor;
	readonly ownership: Ownership;
	readonly pool: Pool;
	readonly dispatcher: Dispatcher;
	/** Absent if jobs aren't refused by the forecast. */
	readonly forecast: FleetForecast | undefined;
	readonly callerTimeouts = new CallerTimeouts();
	readonly pauses: PauseDetector;
	/** Undefined if speeds aren't learned. */
	readonly targetSpeeds: TargetSpeeds | undefined;
	readonly #disposables = new DisposableStore();
	readonly #lossHistory: LossHistory;
	readonly #waitingWork = new WaitingWork();
	/** Absent if no backlog is published. */
	readonly #backlog: BacklogExchange | undefined;
	#isLeaving = false;

	constructor(private readonly parts: PooledEntryParts) {
		const {zone, member, leaseMilliseconds, network, group, catalogue, evacuations, orders, scheduling, clock, journal} = parts;
		const disposables = this.#disposables;
		this.#lossHistory = new LossHistory(clock, journal);
		this.pauses = disposables.add(new PauseDetector(clock));
		this.targetSpeeds = scheduling.targetSpeeds.enabled ? new TargetSpeeds(journal) : undefined;
		this.executor = disposables.add(new Executor({
			leaseMilliseconds,
			lastContact: requester => this.pool.lastContact(requester),
			contactAtHandover: requester => this.pool.contactAtHandover(requester),
			checkPause: () => {
				this.pauses.check();
			},
			orders,
			health: new TargetHealth(journal),
			speeds: this.targetSpeeds,
			losses: this.#lossHistory,
			clock,
			journal,
		}));
		this.#backlog = scheduling.refusalForecast.enabled ? this.#createBacklog() : undefined;
		this.pool = disposables.add(new Pool({
			network,
			ownState: () => this.#nodeState(),
			largestFreeCpuMillis: () => this.executor.largestFreeCpuMillis,
			backlogFor: peer => this.#backlog?.reportFor(peer, clock.now()),
			peersInUse: () => new Set([...this.executor.requesters(), ...this.dispatcher.jobs.owners()]),
			pauses: this.pauses,
			clock,
			journal,
		}));
		disposables.add(new RemoteRuns({
			pool: this.pool, executor: this.executor, refuseFormer: (requester, job) => takeovers.refuseFormer(requester, job), clock, journal,
		}));
		this.ownership = disposables.add(new Ownership({
			zone, member, store: group, catalogue, evacuations, executor: this.executor, orders, clock, journal,
		}));
		this.forecast = this.#backlog && this.#createForecast(this.#backlog);
		const takeovers = disposables.add(new Takeovers({
			network,
			pool: this.pool,
			executor: this.executor,
			yieldJob: takeover => {
				this.dispatcher.yieldJob(takeover);
			},
			hasRequestedRuns: job => this.dispatcher.hasRequestedRuns(job),
			clock,
			journal,
		}));
		this.dispatcher = disposables.add(new Dispatcher({
			zone,
			executor: this.executor,
			pool: this.pool,
			order: new LeastLaxity(),
			scheduling,
			forecast: this.forecast ?? new DisabledForecast(),
			leaseMilliseconds,
			runTimes: scheduling.targetSpeeds.enabled ? new NormalRunTimes() : new MeanRunTimes(),
			timeouts: this.callerTimeouts,
			losses: this.#lossHistory,
			takeovers,
			pauses: this.pauses,
			random: new Random(hashText(member)),
			clock,
			journal,
		}));
		this.#subscribe();
		if (this.#backlog !== undefined) {
			this.#subscribeBacklog(this.#backlog);
		}
	}

	/** Joins the pool and the group of the entry's zone. */
	start(): void {
		const {clock} = this.parts;
		this.pool.start();
		this.ownership.coverZones(new Set());
		clock.schedule(coverDelayMilliseconds, () => {
			this.#disposables.add(repeat(clock, coverIntervalMilliseconds, () => {
				this.#coverZones();
			}));
		});
	}

	/** Hands all targets and their runs over to other entries. This entry's own jobs continue on the targets of other entries. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.pool.broadcastState();
		await this.ownership.leave();
	}

	dispose(): void {
		this.#disposables.dispose();
	}

	#subscribe(): void {
		const {routing, clock} = this.parts;
		const disposables = this.#disposables;
		const verification = new PauseVerification(this.executor, this.pauses, clock);
		disposables.add(this.executor.onDidCompareClocks(gap => {
			this.pauses.reportClockGap(gap);
		}));
		disposables.add(this.pauses.onDidSkipTime(milliseconds => {
			this.executor.recordSkippedTime(milliseconds);
			verification.explainSkippedTime(milliseconds);
		}));
		disposables.add(this.pauses.onDidExplainSkippedTime(milliseconds => {
			this.executor.explainSkippedTime(milliseconds);
		}));
		disposables.add(this.pauses.onDidFindHiddenSuspension(milliseconds => {
			this.executor.recordHiddenSuspension(milliseconds);
		}));
		disposables.add(this.pauses.onDidPause(pause => {
			verification.verify(pause);
		}));
		disposables.add(this.pool.onDidDetectEviction(() => {
			this.pauses.suspectPause();
			verification.askTargets(0);
		}));
		disposables.add(this.executor.onDidChangeFreeCapacity(() => {
			this.pool.announceCapacity();
		}));
		disposables.add(this.ownership.onDidHandOver(handovers => {
			this.dispatcher.recordHandovers(handovers, this.pool.self);
			const requesters = new Set(handovers.flatMap(({runs}) => runs.map(({requester}) => requester)));
			this.pool.broadcast({kind: 'handover', handovers, requesters: this.pool.describePeers(requesters)});
		}));
		disposables.add(this.#lossHistory.onDidRecord(loss => {
			this.pool.broadcast({kind: 'loss', loss});
		}));
		disposables.add(routing.onDidChange(() => {
			this.pool.broadcastState();
		}));
		disposables.add(this.pool.onDidReceive(({from, message}) => {
			if (message.kind === 'handover') {
				this.ownership.renew();
			} else if (message.kind === 'state' && message.state.routingVersion > routing.version) {
				this.pool.send(from.id, {kind: 'wantRouting'});
			} else if (message.kind === 'wantRouting' && routing.configuration !== undefined) {
				this.pool.send(from.id, {kind: 'routing', configuration: routing.configuration});
			} else if (message.kind === 'loss') {
				this.#lossHistory.apply(message.loss);
			} else if (message.kind === 'routing') {
				routing.update(message.configuration, 'peer');
			}
		}));
	}

	#createBacklog(): BacklogExchange {
		return new BacklogExchange({
			zone: this.parts.zone,
			own: now => ownBacklog(this.executor.serviceCapacities, this.#waitingWork, now),
			isFresh: id => this.pool.isFreshMember(id),
		});
	}

	#createForecast(backlog: BacklogExchange): FleetForecast {
		const freePlaces = new FreePlaces(this.executor, this.pool);
		return new FleetForecast({
			view: now => backlog.view(now),
			freePlaces: job => freePlaces.count(job),
			waiting: this.#waitingWork,
			random: new Random(hashText(`${this.parts.member} forecast`)),
			journal: this.parts.journal,
		});
	}

	#subscribeBacklog(backlog: BacklogExchange): void {
		const {clock} = this.parts;
		const disposables = this.#disposables;
		disposables.add(this.pool.onDidReceive(({from, message, isCurrent}) => {
			if (message.kind === 'state' && message.backlog !== undefined && isCurrent) {
				backlog.receive(from, message.backlog, Math.min(clock.now(), this.pool.lastContact(from.id)));
			}
		}));
		disposables.add(this.pool.onDidLoseMember(member => {
			backlog.forget(member);
		}));
		for (const pause of [this.pauses.onDidPause, this.pauses.onDidConfirmPause, this.pauses.onDidFindHiddenSuspension]) {
			disposables.add(pause(() => {
				backlog.clear();
			}));
		}

		for (const change of [this.executor.onDidChangeFreeCapacity, this.pool.onDidChangeCapacity]) {
			disposables.add(change(() => {
				this.forecast?.recordFreeCapacity(clock.now());
			}));
		}
	}

	#nodeState(): EntryState {
		return {
			isLeaving: this.#isLeaving, routingVersion: this.parts.routing.version, demand: this.dispatcher.jobs.minimumNeeds, freeCapacity: this.executor.freeCapacity,
		};
	}

	#coverZones(): void {
		if (this.#isLeaving) {
			return;
		}

		const zones = [...this.parts.catalogue.targets.values()].map(target => target.zone);
		const covered = zonesToCover(zones, {id: this.pool.self, zone: this.parts.zone, isLeaving: false}, this.pool.members);
		this.ownership.coverZones(covered);
	}
}
