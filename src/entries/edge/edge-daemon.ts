/** Lifecycle of the edge daemon, which runs an entry on the prepared platform. */
import type {BootSettings} from '../../../platform/boot-settings.js';
import {EntryDirectory} from '../../../platform/entry-directory.js';
import {JobServer} from '../../../platform/job-server.js';
import {ReadinessServer} from '../../../platform/readiness-server.js';
import {StoreTargetCatalogue} from '../../../platform/store-target-catalogue.js';
import {StoreClient} from '../../../platform/store-client.js';
import {StorePartitionGroup} from '../../../platform/store-partition-group.js';
import {StoreCallerTimeouts} from '../../../platform/store-caller-timeouts.js';
import {RoutingSubscription} from '../../../platform/routing-subscription.js';
import {TargetClient} from '../../../platform/target-client.js';
import type {Clock} from '../../base/clock.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {wait} from '../../base/wait.js';
import {PoolReaderGroup} from '../../features/listing/pool-reader-group.js';
import type {SchedulingSettings} from '../../features/dispatch/scheduling-settings.js';
import {RoutingTable} from '../../features/routing/routing-table.js';
import {ZoneEvacuations} from '../../features/targets/zone-evacuations.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {StatusServer} from '../../runtime/metrics/status-server.js';
import type {TextMetrics} from '../../runtime/metrics/text-metrics.js';
import {TcpPeerNetwork} from '../../runtime/peers/tcp-peer-network.js';
import {TcpTransport} from '../../runtime/peers/tcp-transport.js';
import {version} from '../version.js';
import {PooledEntry} from './pooled-entry.js';

/** Shared by all entries, to reject connections from unrelated programs. It is no secret: the network is trusted. */
const peerKey = 'savorylock';
/**
 * Connection timing in milliseconds. A silent connection is redialled before the pool declares its peer lost (800 ms), and
 * failed dials are repeated soon enough to reconnect quickly after a network partition. The pool's heartbeats (every 200 ms
 * to near peers, every second to others) make pings unnecessary.
 */
const peerTiming = {
	pingInterval: 300, checkInterval: 100, silenceTimeout: 500, connectTimeout: 300, redialDelay: 100, idleTimeout: 0,
};
/** Lifetime of a group membership without a renewal; long enough for four lost renewals. The store may require more. */
const membershipMilliseconds = 1500;
/** Routing data counts as fresh for this fraction of the time within which changes must be applied. */
const freshFraction = 0.75;
/** Time until the load balancer has noticed that an entry is not ready: two checks, one second apart. */
const balancerDelayMilliseconds = 2300;
/** Time reserved at the end of the grace period to answer the jobs that are still open. */
const finalAnswersMilliseconds = 700;
const drainPollMilliseconds = 50;

/** Dependencies of an edge daemon. */
type EdgeDaemonParts = {
	readonly settings: BootSettings;
	readonly scheduling: SchedulingSettings;
	/** The address that peers connect to, if it differs from the listening address. */
	readonly advertisedPeers: string | undefined;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly metrics: TextMetrics;
};

/** Connects the features to the platform adapter, and starts and stops them in order. */
export class EdgeDaemon {
	readonly #disposables = new DisposableStore();
	readonly #network: TcpPeerNetwork;
	readonly #routing: RoutingTable;
	readonly #catalogue: StoreTargetCatalogue;
	readonly #entry: PooledEntry;
	readonly #readerGroup: PoolReaderGroup;
	readonly #jobFront: JobServer;
	readonly #directory: EntryDirectory;
	readonly #storeRouting: RoutingSubscription;
	readonly #storePatience: StoreCallerTimeouts;
	readonly #readiness: ReadinessServer;
	readonly #metricsServer: StatusServer;
	#isLeaving = false;

	constructor(private readonly parts: EdgeDaemonParts) {
		const {settings, clock, journal, metrics} = parts;
		const advertisedPeers = parts.advertisedPeers ?? settings.peers;
		const [host = '', port = ''] = settings.peers.split(':');
		const disposables = this.#disposables;
		this.#network = disposables.add(new TcpPeerNetwork({
			instance: settings.instance, zone: settings.zone, address: host, port: Number(port), key: peerKey, transport: new TcpTransport(), timing: peerTiming, advertised: advertisedPeers,
		}, clock, journal));
		const store = disposables.add(new StoreClient(settings.storeAddress, journal));
		const freshMilliseconds = settings.applyMilliseconds * freshFraction;
		this.#routing = new RoutingTable(freshMilliseconds, clock, journal);
		const evacuations = disposables.add(new ZoneEvacuations(journal));
		this.#storeRouting = disposables.add(new RoutingSubscription({
			store, table: this.#routing, evacuations, maxAgeMilliseconds: freshMilliseconds, clock, journal,
		}));
		this.#catalogue = disposables.add(new StoreTargetCatalogue({
			store, zones: settings.zones, services: () => this.#routing.services, drainMilliseconds: settings.drainMilliseconds, clock, journal,
		}));
		this.#entry = disposables.add(new PooledEntry({
			zone: settings.zone,
			member: `${settings.peers}/${clock.wallTime().toString(36)}`,
			leaseMilliseconds: settings.leaseMilliseconds,
			network: this.#network,
			group: new StorePartitionGroup(store, settings.partitionCount, Math.max(membershipMilliseconds, settings.shortestMembershipMilliseconds)),
			catalogue: this.#catalogue,
			evacuations,
			orders: new TargetClient(journal),
			routing: this.#routing,
			scheduling: parts.scheduling,
			clock,
			journal,
		}));
		const self = {address: advertisedPeers, zone: settings.zone};
		this.#readerGroup = disposables.add(new PoolReaderGroup({pool: this.#entry.pool, self, clock}));
		this.#storePatience = disposables.add(new StoreCallerTimeouts(store, this.#entry.callerTimeouts, clock));
		const {pauses} = this.#entry;
		this.#jobFront = disposables.add(new JobServer({
			dispatcher: this.#entry.dispatcher, routing: this.#routing, pauses, farFactor: settings.farFactor, journal,
		}));
		this.#directory = disposables.add(new EntryDirectory({
			store,
			self,
			clock,
			journal,
			onEntries: entries => {
				this.#readerGroup.addPeers(entries);
				this.#entry.pool.addPeers(entries);
			},
		}));
		disposables.add(pauses.onDidPause(({milliseconds, monotonicMilliseconds}) => {
			// Routes may have been added during the pause: until the store answers again, a missing route is not conclusive.
			this.#routing.invalidate();
			journal.record('processPaused', {milliseconds: Math.round(milliseconds), monotonicMilliseconds: Math.round(monotonicMilliseconds)});
		}));
		disposables.add(pauses.onDidDelay(milliseconds => {
			journal.record('eventLoopDelayed', {milliseconds: Math.round(milliseconds)});
		}));
		this.#metricsServer = disposables.add(new StatusServer(() => {
			this.#updateGauges();
			return {status: 200, text: metrics.render()};
		}));
		this.#readiness = disposables.add(new ReadinessServer(() => !this.#isLeaving && this.#routing.configuration !== undefined));
	}

	/** Opens all listeners, with metrics on the given port, and joins the pool. */
	async start(metricsPort: number): Promise<void> {
		const {settings, journal} = this.parts;
		await this.#network.listen();
		await this.#jobFront.listen(settings.intake);
		await this.#readiness.listen(settings.readiness);
		await this.#metricsServer.listen(`${settings.address}:${metricsPort}`);
		this.#entry.start();
		this.#entry.pool.addPeers(settings.seeds.map(address => ({address, zone: undefined})));
		this.#directory.start();
		this.#storeRouting.start();
		this.#storePatience.start();
		this.#catalogue.start(this.#readerGroup);
		journal.record('edgeStarted', {
			instance: settings.instance, zone: settings.zone, intake: settings.intake, peers: settings.peers, version,
		});
	}

	/**
	 * Shuts down gracefully. Hands the targets and their runs over to other entries at once, and serves callers until the load
	 * balancer has noticed; after that, each connection closes with its next answer. Resolves once no job is left or the grace
	 * period is over.
	 */
	async stop(): Promise<void> {
		const {clock, journal, settings} = this.parts;
		const {dispatcher, executor} = this.#entry;
		const startedAt = clock.now();
		journal.record('edgeStopping', {inFlight: dispatcher.inFlight, ownedTargets: executor.ownedTargets});
		this.#isLeaving = true;
		await this.#entry.leave();
		await wait(clock, balancerDelayMilliseconds - (clock.now() - startedAt));
		this.#jobFront.closeConnectionsAfterAnswers();
		while (dispatcher.inFlight > 0 && clock.now() - startedAt < settings.graceMilliseconds - finalAnswersMilliseconds) {
			await wait(clock, drainPollMilliseconds);
		}

		this.#jobFront.close();
		dispatcher.endAllJobs();
		await wait(clock, drainPollMilliseconds);
		journal.record('edgeStopped', {inFlight: dispatcher.inFlight});
		this.#disposables.dispose();
	}

	#updateGauges(): void {
		const {metrics} = this.parts;
		const {dispatcher, executor, forecast, pauses, targetSpeeds} = this.#entry;
		metrics.gauge('event_loop_delay_milliseconds', Math.round(pauses.takeLongestDelay()));
		metrics.gauge('jobs_in_flight', dispatcher.inFlight);
		metrics.gauge('tasks_waiting', dispatcher.jobs.waitingTasks);
		metrics.gauge('targets_owned', executor.ownedTargets);
		if (targetSpeeds !== undefined && executor.ownedTargets > 0) {
			const slowdowns = targetSpeeds.slowdowns(this.parts.clock.now());
			metrics.gauge('target_slowdown_least', Math.min(...slowdowns));
			metrics.gauge('target_slowdown_greatest', Math.max(...slowdowns));
		}

		metrics.gauge('routing_version', this.#routing.version);
		if (forecast !== undefined) {
			metrics.gauge('forecast_refusals_refuted_total', forecast.calibration.refutedRefusals);
			metrics.gauge('forecast_jobs_unserved_total', forecast.calibration.unservedJobs);
			metrics.gauge('forecast_scale', Math.round(forecast.calibration.scale * 100) / 100);
		}
	}
}
