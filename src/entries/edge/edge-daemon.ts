/** The life of an edge daemon: an entry on the prepared platform. */
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
import {RoutingTable} from '../../features/routing/routing-table.js';
import {ZoneEvacuations} from '../../features/targets/zone-evacuations.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {StatusServer} from '../../runtime/metrics/status-server.js';
import type {TextMetrics} from '../../runtime/metrics/text-metrics.js';
import {TcpPeerNetwork} from '../../runtime/peers/tcp-peer-network.js';
import {TcpTransport} from '../../runtime/peers/tcp-transport.js';
import {version} from '../version.js';
import {PooledEntry} from './pooled-entry.js';

/** Entries of one installation share it, so that a stray program isn't taken for a peer; the network is trusted. */
const peerKey = 'savorylock';
/**
 * Heartbeats of close entries come every 200 ms and take the place of pings. A connection that has gone silent is dialled anew before
 * its entry is taken as lost after 800 ms, and one that can't be made is tried often enough to be there soon after a cut has
 * healed. Connections to entries that are not close carry a heartbeat a second, and need no pings.
 */
const peerTiming = {
	ping: 300, check: 100, silence: 500, connect: 300, redial: 100, use: 0,
};
/** An entry's place in its groups outlives four lost renewals; the store may ask for more. */
const membershipMilliseconds = 1500;
/** An answer by the store that is older than three quarters of the time to apply a change proves nothing any more. */
const freshShare = 0.75;
/** The balancer misses an entry that isn't ready after two checks, a second apart. */
const balancerMilliseconds = 2300;
/** Before the end of the grace: what is open then is answered as it stands. */
const lastAnswersMilliseconds = 700;
const drainCheckMilliseconds = 50;

/** What a daemon is built from. */
type EdgeDaemonParts = {
	readonly settings: BootSettings;
	/** Where peers connect, if not to where this entry listens. */
	readonly advertisedPeers: string | undefined;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly metrics: TextMetrics;
};

/** Wires the features with the platform's adapter, and ends them in order. */
export class EdgeDaemon {
	readonly #store = new DisposableStore();
	readonly #network: TcpPeerNetwork;
	readonly #routing: RoutingTable;
	readonly #catalogue: StoreTargetCatalogue;
	readonly #entry: PooledEntry;
	readonly #circle: PoolReaderGroup;
	readonly #front: JobServer;
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
		const own = this.#store;
		this.#network = own.add(new TcpPeerNetwork({
			instance: settings.instance, zone: settings.zone, address: host, port: Number(port), key: peerKey, transport: new TcpTransport(), timing: peerTiming, advertised: advertisedPeers,
		}, clock, journal));
		const store = own.add(new StoreClient(settings.storeAddress, journal));
		const freshMilliseconds = settings.applyMilliseconds * freshShare;
		this.#routing = new RoutingTable(freshMilliseconds, clock, journal);
		const evacuations = own.add(new ZoneEvacuations(journal));
		this.#storeRouting = own.add(new RoutingSubscription({
			store, table: this.#routing, evacuations, maxAgeMilliseconds: freshMilliseconds, clock, journal,
		}));
		this.#catalogue = own.add(new StoreTargetCatalogue({
			store, zones: settings.zones, services: () => this.#routing.services, drainMilliseconds: settings.drainMilliseconds, clock, journal,
		}));
		this.#entry = own.add(new PooledEntry({
			zone: settings.zone,
			member: `${settings.peers}/${clock.wallTime().toString(36)}`,
			leaseMilliseconds: settings.leaseMilliseconds,
			network: this.#network,
			group: new StorePartitionGroup(store, settings.partitionCount, Math.max(membershipMilliseconds, settings.shortestMembershipMilliseconds)),
			catalogue: this.#catalogue,
			evacuations,
			orders: new TargetClient(journal),
			routing: this.#routing,
			clock,
			journal,
		}));
		const self = {address: advertisedPeers, zone: settings.zone};
		this.#circle = own.add(new PoolReaderGroup({pool: this.#entry.pool, self, clock}));
		this.#storePatience = own.add(new StoreCallerTimeouts(store, this.#entry.patience, clock));
		const {pauses} = this.#entry;
		this.#front = own.add(new JobServer({
			dispatcher: this.#entry.dispatcher, routing: this.#routing, pauses, farFactor: settings.farFactor, journal,
		}));
		this.#directory = own.add(new EntryDirectory({
			store,
			self,
			clock,
			journal,
			onEntries: entries => {
				this.#circle.addPeers(entries);
				this.#entry.pool.addPeers(entries);
			},
		}));
		own.add(pauses.onDidPause(({milliseconds}) => {
			// A route may have been added meanwhile: without a new answer by the store its absence can't be told.
			this.#routing.invalidate();
			journal.record('processPaused', {milliseconds: Math.round(milliseconds)});
		}));
		this.#metricsServer = own.add(new StatusServer(() => {
			this.#measure();
			return {status: 200, text: metrics.render()};
		}));
		this.#readiness = own.add(new ReadinessServer(() => !this.#isLeaving && this.#routing.configuration !== undefined));
	}

	/** Listens everywhere and joins the others; metrics are served on the given port. */
	async start(metricsPort: number): Promise<void> {
		const {settings, journal} = this.parts;
		await this.#network.listen();
		await this.#front.listen(settings.intake);
		await this.#readiness.listen(settings.readiness);
		await this.#metricsServer.listen(`${settings.address}:${metricsPort}`);
		this.#entry.start();
		this.#entry.pool.addPeers(settings.seeds.map(address => ({address, zone: undefined})));
		this.#directory.start();
		this.#storeRouting.start();
		this.#storePatience.start();
		this.#catalogue.start(this.#circle);
		journal.record('edgeStarted', {
			instance: settings.instance, zone: settings.zone, intake: settings.intake, peers: settings.peers, version,
		});
	}

	/**
	 * Ends gracefully. The targets go to other entries at once, with what runs there; callers' connections are served until
	 * the balancer has taken note, then each answer ends its connection. Resolves when nothing is left or time is up.
	 */
	async stop(): Promise<void> {
		const {clock, journal, settings} = this.parts;
		const {dispatcher, executor} = this.#entry;
		const begunAt = clock.now();
		journal.record('edgeStopping', {inFlight: dispatcher.inFlight, ownedTargets: executor.ownedTargets});
		this.#isLeaving = true;
		await this.#entry.leave();
		await wait(clock, balancerMilliseconds - (clock.now() - begunAt));
		this.#front.closeConnectionsAfterAnswers();
		while (dispatcher.inFlight > 0 && clock.now() - begunAt < settings.graceMilliseconds - lastAnswersMilliseconds) {
			await wait(clock, drainCheckMilliseconds);
		}

		this.#front.close();
		dispatcher.endAllJobs();
		await wait(clock, drainCheckMilliseconds);
		journal.record('edgeStopped', {inFlight: dispatcher.inFlight});
		this.#store.dispose();
	}

	#measure(): void {
		const {metrics} = this.parts;
		const {dispatcher, executor} = this.#entry;
		metrics.gauge('jobs_in_flight', dispatcher.inFlight);
		metrics.gauge('tasks_waiting', dispatcher.jobs.waitingTasks);
		metrics.gauge('targets_owned', executor.ownedTargets);
		metrics.gauge('routing_version', this.#routing.version);
	}
}
