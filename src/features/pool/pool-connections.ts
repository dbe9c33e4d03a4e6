/** How often this entry and the others hear of each other, and which connections it keeps. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {heartbeats} from './heartbeats.js';
import type {PeerEndpoint} from './peer-endpoint.js';
import {Neighbours} from './neighbours.js';
import type {PoolMember} from './pool-member.js';
import {fullMeshLimit} from './full-mesh-limit.js';

/** How often it's looked which neighbours don't answer, where nothing else has changed: half of the time that a dial may take. */
const watchMilliseconds = 500;
/** So many of its zone watch over an entry: one of them may be gone with it, and one may be slow. */
const monitorsPerNode = 3;
/** What the links depend on. */
type PoolConnectionsParts = {
	readonly network: PeerNetwork;
	readonly members: () => Iterable<PoolMember>;
	/** Entries that run something for this one, or that this one runs something for. */
	readonly peersInUse: () => ReadonlySet<MemberId>;
	/** Tells an entry the state of this one, and whether it's its watcher. */
	readonly tell: (member: PoolMember) => void;
	readonly clock: Clock;
};

/** Sets the rhythms of all members, and has the network keep the connections that are worth it. */
export class PoolConnections {
	readonly #neighbours: Neighbours;
	#watched: ReadonlySet<string> = new Set();
	#watchedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: PoolConnectionsParts) {
		const {network, clock} = parts;
		const {peerAddress, zone} = network.self;
		this.#neighbours = new Neighbours({self: {address: peerAddress, zone}, clock});
	}

	/** All entries that are known, met or not. */
	get known(): readonly PeerEndpoint[] {
		return this.#neighbours.known;
	}

	/** Takes entries, and connects to those that become neighbours. */
	add(entries: Iterable<PeerEndpoint>): void {
		for (const entry of entries) {
			this.#neighbours.add(entry);
		}

		this.#watch();
	}

	/** Sets how often each member is told and heard; looks after the connections where that, or the members, changed. */
	update(): void {
		const {members, peersInUse, clock} = this.parts;
		const fleet = [...members()];
		const inUse = fleet.length <= fullMeshLimit ? undefined : peersInUse();
		let isDue = clock.now() - this.#watchedAt >= watchMilliseconds;
		for (const known of fleet) {
			const isClose = inUse?.has(known.member.id) ?? true;
			known.sendTiming = timingOf(isClose, known.isMonitor);
			const timing = timingOf(isClose, known.isMonitored);
			if (timing !== known.expectedTiming) {
				known.expectedTiming = timing;
				known.timingChangedAt = clock.now();
				isDue = true;
			}
		}

		if (isDue) {
			this.#watch();
		}
	}

	/** A member is gone: another one may have to take its place soon. */
	noteLoss(): void {
		this.#watchedAt = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Connections to entries that are there and aren't in use are used as they are: the network makes them anew when they're
	 * needed. Watched, they'd carry pings between their heartbeats, three times as many frames as those.
	 */
	#watch(): void {
		this.#watchedAt = this.parts.clock.now();
		this.#chooseMonitors();
		const met = new Set<string>();
		const unused = new Set<string>();
		for (const {member, expectedTiming} of this.parts.members()) {
			met.add(member.peerAddress);
			if (expectedTiming !== heartbeats.active) {
				unused.add(member.peerAddress);
			}
		}

		const watched = new Set([...this.#neighbours.choose(met), ...met].filter(address => !unused.has(address)));
		if (!areEqual(watched, this.#watched)) {
			this.#watched = watched;
			this.parts.network.watch(watched);
		}
	}

	/** The few of this zone that have to notice when this entry is gone. One that becomes a watcher, or ceases to be one, is told. */
	#chooseMonitors(): void {
		const {self} = this.parts.network;
		const mates = [...this.parts.members()].filter(({member}) => member.zone === self.zone);
		const monitors = new Set(rankByKey(self.peerAddress, mates, ({member}) => member.peerAddress).slice(0, monitorsPerNode));
		for (const known of mates) {
			const isMonitor = monitors.has(known);
			if (isMonitor !== known.isMonitor) {
				known.isMonitor = isMonitor;
				this.parts.tell(known);
			}
		}
	}
}

function timingOf(isClose: boolean, isMonitor: boolean) {
	if (isClose) {
		return heartbeats.active;
	}

	return isMonitor ? heartbeats.monitored : heartbeats.idle;
}

function areEqual(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
	return left.size === right.size && [...left].every(item => right.has(item));
}
