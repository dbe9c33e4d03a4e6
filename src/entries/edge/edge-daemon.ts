/** The life of an edge daemon: an entry on the prepared platform. */
import type {BootSettings} from '../../../platform/boot-settings.js';
import {EntryDirectory} from '../../../platform/entry-directory.js';
import {JobFront} from '../../../platform/job-front.js';
import {ReadinessServer} from '../../../platform/readiness-server.js';
import {StoreCatalogue} from '../../../platform/store-catalogue.js';
import {StoreClient} from '../../../platform/store-client.js';
import {StoreGroup} from '../../../platform/store-group.js';
import {StoreRouting} from '../../../platform/store-routing.js';
import {TargetClient} from '../../../platform/target-client.js';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {hashText} from '../../base/hash-text.js';
import {Random} from '../../base/random.js';
import {repeat} from '../../base/repeat.js';
import {wait} from '../../base/wait.js';
import {Dispatcher} from '../../features/dispatch/dispatcher.js';
import {EarliestObjective} from '../../features/dispatch/earliest-objective.js';
import {Executor} from '../../features/execution/executor.js';
import type {Handover} from '../../features/execution/handover.js';
import {Ownership} from '../../features/ownership/ownership.js';
import {RunTimes} from '../../features/placement/run-times.js';
import {TargetHealth} from '../../features/placement/target-health.js';
import {Pool} from '../../features/pool/pool.js';
import {RemoteRuns} from '../../features/pool/remote-runs.js';
import {requestMessageOf} from '../../features/pool/request-message-of.js';
import {zonesToCover} from '../../features/pool/zone-cover.js';
import {RoutingTable} from '../../features/routing/routing-table.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {TcpPeerNetwork} from '../../runtime/peers/tcp-peer-network.js';
import {TcpTransport} from '../../runtime/peers/tcp-transport.js';
import {version} from '../version.js';

/** Entries of one installation share it, so that a stray program isn't taken for a peer; the network is trusted. */
const peerKey = 'savorylock';
/** Half of the time to live that a lost renewal must not exhaust; the store allows no less than its own minimum. */
const membershipMilliseconds = 1500;
/** An answer by the store that is older than three quarters of the time to apply a change proves nothing any more. */
const freshShare = 0.75;
/** How long the pool may take to form before a zone without an entry is taken as such. */
const coverDelayMilliseconds = 1500;
const coverCheckMilliseconds = 200;
/** The balancer misses an entry that isn't ready after two checks, a second apart. */
const balancerMilliseconds = 2300;
/** Before the end of the grace: what is open then is answered as it stands. */
const lastAnswersMilliseconds = 700;
/** Requests that callers send on their connections after this share of the grace aren't started any more. */
const drainCheckMilliseconds = 50;

/** Wires the features with the platform's adapter, and ends them in order. */
export class EdgeDaemon {
	readonly #store = new DisposableStore();
	readonly #network: TcpPeerNetwork;
	readonly #routing: RoutingTable;
	readonly #catalogue: StoreCatalogue;
	readonly #executor: Executor;
	readonly #ownership: Ownership;
	readonly #pool: Pool;
	readonly #dispatcher: Dispatcher;
	readonly #front: JobFront;
	readonly #directory: EntryDirectory;
	readonly #storeRouting: StoreRouting;
	readonly #readiness: ReadinessServer;
	#isLeaving = false;
	#covered: ReadonlySet<AvailabilityZone> = new Set();

	constructor(private readonly settings: BootSettings, private readonly clock: Clock, private readonly journal: Journal) {
		const [host = '', port = ''] = settings.peers.split(':');
		const own = this.#store;
		this.#network = own.add(new TcpPeerNetwork({
			instance: settings.instance, zone: settings.zone, address: host, port: Number(port), key: peerKey, transport: new TcpTransport(),
		}, clock, journal));
		const store = own.add(new StoreClient(settings.storeAddress, journal));
		this.#routing = new RoutingTable(settings.applyMilliseconds * freshShare, clock, journal);
		this.#storeRouting = own.add(new StoreRouting(store, this.#routing, clock, journal));
		this.#catalogue = own.add(new StoreCatalogue(store, clock, journal));
		this.#executor = own.add(new Executor({
			leaseMilliseconds: settings.leaseMilliseconds, orders: new TargetClient(journal), health: new TargetHealth(journal), clock, journal,
		}));
		this.#pool = own.add(new Pool(this.#network, () => this.#state(), clock, journal));
		own.add(new RemoteRuns(this.#pool, this.#executor, clock));
		const member = `${settings.peers}/${clock.wallTime().toString(36)}`;
		this.#ownership = own.add(new Ownership({
			zone: settings.zone,
			member,
			store: new StoreGroup(store, settings.partitionCount, Math.max(membershipMilliseconds, settings.shortestMembershipMilliseconds)),
			catalogue: this.#catalogue,
			executor: this.#executor,
			clock,
			journal,
		}));
		this.#dispatcher = own.add(new Dispatcher({
			executor: this.#executor,
			pool: this.#pool,
			order: new EarliestObjective(),
			runTimes: new RunTimes(),
			random: new Random(hashText(member)),
			clock,
			journal,
		}));
		this.#front = own.add(new JobFront(this.#dispatcher, this.#routing, journal));
		this.#directory = own.add(new EntryDirectory(store, settings.peers, clock, address => {
			this.#pool.meet([address]);
		}));
		this.#readiness = own.add(new ReadinessServer(() => !this.#isLeaving && this.#routing.configuration !== undefined));
	}

	async start(): Promise<void> {
		const {settings, clock, journal} = this;
		await this.#network.listen();
		await this.#front.listen(settings.intake);
		await this.#readiness.listen(settings.readiness);
		this.#connectParts();
		this.#pool.start();
		this.#pool.meet(settings.seeds);
		this.#directory.start();
		this.#storeRouting.start();
		this.#catalogue.start();
		this.#ownership.cover(new Set());
		clock.schedule(coverDelayMilliseconds, () => {
			this.#store.add(repeat(clock, coverCheckMilliseconds, () => {
				this.#cover();
			}));
		});
		journal.record('edgeStarted', {
			instance: settings.instance, zone: settings.zone, intake: settings.intake, peers: settings.peers, version,
		});
	}

	/**
	 * Ends gracefully. The targets go to other entries at once, with what runs there; callers' connections are served until
	 * the balancer has taken note, then each answer ends its connection. Resolves when nothing is left or time is up.
	 */
	async stop(): Promise<void> {
		const {clock, journal, settings} = this;
		const begunAt = clock.now();
		journal.record('edgeStopping', {inFlight: this.#dispatcher.inFlight, ownedTargets: this.#executor.ownedTargets});
		this.#isLeaving = true;
		this.#pool.tellChange();
		await this.#ownership.leave();
		await wait(clock, balancerMilliseconds - (clock.now() - begunAt));
		this.#front.closeConnectionsAfterAnswers();
		while (this.#dispatcher.inFlight > 0 && clock.now() - begunAt < settings.graceMilliseconds - lastAnswersMilliseconds) {
			await wait(clock, drainCheckMilliseconds);
		}

		this.#front.close();
		this.#dispatcher.giveUp();
		await wait(clock, drainCheckMilliseconds);
		journal.record('edgeStopped', {inFlight: this.#dispatcher.inFlight});
		this.#store.dispose();
	}

	/** The process stood still: whatever others decided meanwhile isn't known here yet. */
	notePause(milliseconds: number): void {
		this.journal.record('processPaused', {milliseconds: Math.round(milliseconds)});
	}

	#connectParts(): void {
		const own = this.#store;
		own.add(this.#executor.onDidChangeRoom(() => {
			this.#pool.tellChange();
		}));
		own.add(this.#ownership.onDidHandOver(handovers => {
			this.#pool.broadcast({kind: 'handover', handovers: handovers.map(handover => messageOf(handover))});
		}));
		own.add(this.#routing.onDidChange(() => {
			this.#pool.tellChange();
		}));
		own.add(this.#pool.onDidReceive(({from, message}) => {
			if (message.kind === 'handover') {
				this.#ownership.renew();
			} else if (message.kind === 'state' && message.routingVersion > this.#routing.version) {
				this.#pool.send(from.id, {kind: 'wantRouting'});
			} else if (message.kind === 'wantRouting' && this.#routing.configuration !== undefined) {
				this.#pool.send(from.id, {kind: 'routing', configuration: {...this.#routing.configuration, routes: [...this.#routing.configuration.routes]}});
			} else if (message.kind === 'routing') {
				this.#routing.offer(message.configuration, 'peer');
			}
		}));
	}

	#state() {
		return {
			isLeaving: this.#isLeaving,
			routingVersion: this.#routing.version,
			ownedTargets: this.#executor.ownedTargets,
			waitingTasks: this.#dispatcher.waitingTasks,
			zones: [...this.#covered],
			room: this.#executor.room.map(({service, labels, room}) => ({
				service, labels: [...labels], room: [room.cpuMillis, room.memoryMegabytes, room.accelerators] as [number, number, number],
			})),
		};
	}

	#cover(): void {
		if (this.#isLeaving) {
			return;
		}

		const zones = [...this.#catalogue.targets.values()].map(target => target.zone);
		const covered = zonesToCover(zones, {id: this.#pool.self, zone: this.settings.zone, isLeaving: false}, this.#pool.members);
		if ([...covered].join(',') !== [...this.#covered].join(',')) {
			this.journal.record('zonesCovered', {zones: [...covered].join(',')});
		}

		this.#covered = covered;
		this.#ownership.cover(covered);
	}
}

function messageOf({target, acknowledged, runs}: Handover) {
	return {
		target: target as string,
		acknowledged,
		runs: runs.map(({request, requester}) => ({request: requestMessageOf(request), requester})),
	};
}
