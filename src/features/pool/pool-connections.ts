/** The heartbeat timings between this entry and its peers, and the connections it keeps. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {heartbeats} from './heartbeats.js';
import type {Mesh} from './mesh.js';
import type {PeerEndpoint} from './peer-endpoint.js';
import {Neighbours} from './neighbours.js';
import type {PoolMember} from './pool-member.js';
import {fullMeshLimit} from './full-mesh-limit.js';

/** Interval of the checks for unresponsive neighbours when nothing else has changed: half of the dial timeout. */
const refreshMilliseconds = 500;
/** Monitors of an entry, in its own zone: one may be lost together with it, and one may be slow. */
const monitorsPerEntry = 3;

/** Dependencies of the connections. */
type PoolConnectionsParts = {
	readonly network: PeerNetwork;
	readonly members: () => Iterable<PoolMember>;
	/** Peers that run tasks for this entry, or that this entry runs tasks for. */
	readonly peersInUse: () => ReadonlySet<MemberId>;
	/** Sends a peer this entry's state, and whether the peer monitors it. */
	readonly sendState: (member: PoolMember) => void;
	readonly clock: Clock;
};

/** Sets the heartbeat timings of all members, and has the network maintain the connections that are needed. */
export class PoolConnections {
	readonly #neighbours: Neighbours;
	#watched: ReadonlySet<string> = new Set();
	#refreshedAt = Number.NEGATIVE_INFINITY;
	#mesh: Mesh = 'full';

	constructor(private readonly parts: PoolConnectionsParts) {
		const {network, clock} = parts;
		const {peerAddress, zone} = network.self;
		this.#neighbours = new Neighbours({self: {address: peerAddress, zone}, clock});
	}

	/** All known peers, connected or not. */
	get known(): readonly PeerEndpoint[] {
		return this.#neighbours.known;
	}

	/** As of the last update. */
	get mesh(): Mesh {
		return this.#mesh;
	}

	/** Adds peers, and connects to those that become neighbours. */
	add(endpoints: Iterable<PeerEndpoint>): void {
		for (const endpoint of endpoints) {
			this.#neighbours.add(endpoint);
		}

		this.#refresh();
	}

	/** Updates the heartbeat timings; refreshes the connections if the timings or the members have changed, or a check is due. */
	update(): void {
		const {members, peersInUse, clock} = this.parts;
		const peers = [...members()];
		const hadFullMesh = this.#mesh === 'full';
		this.#mesh = meshOf(peers);
		const hasFullMesh = this.#mesh === 'full';
		const inUse = hasFullMesh && peers.every(({mesh}) => mesh === 'full') ? undefined : peersInUse();
		let needsRefresh = clock.now() - this.#refreshedAt >= refreshMilliseconds;
		for (const known of peers) {
			const isInUse = inUse?.has(known.member.id) ?? true;
			// A peer of a former version states no other mesh, and expects active heartbeats if it has few peers itself.
			known.sendTiming = timingOf(isInUse || (this.#mesh !== 'extended' && known.mesh === 'full'), known.isMonitor);
			// Entries differ in their peers, so that one with another mesh may send fewer heartbeats than this entry.
			const timing = timingOf(isInUse || (hasFullMesh && known.mesh === 'full'), known.isMonitored);
			if (timing !== known.expectedTiming) {
				known.expectedTiming = timing;
				known.timingChangedAt = clock.now();
				needsRefresh = true;
			}
		}

		if (needsRefresh) {
			this.#refresh();
		}

		// The peers have to expect fewer heartbeats from now on.
		if (hadFullMesh && !hasFullMesh) {
			for (const known of peers) {
				this.parts.sendState(known);
			}
		}
	}

	/** Makes the next update refresh the connections, since a lost member may have to be replaced. */
	invalidate(): void {
		this.#refreshedAt = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Connections to connected peers that aren't active are left out: the network restores them on demand, and pings on them would
	 * outnumber the heartbeats.
	 */
	#refresh(): void {
		this.#refreshedAt = this.parts.clock.now();
		this.#chooseMonitors();
		const connected = new Set<string>();
		const inactive = new Set<string>();
		for (const {member, expectedTiming} of this.parts.members()) {
			connected.add(member.peerAddress);
			if (expectedTiming !== heartbeats.active) {
				inactive.add(member.peerAddress);
			}
		}

		const watched = new Set([...this.#neighbours.choose(connected), ...connected].filter(address => !inactive.has(address)));
		if (!areEqual(watched, this.#watched)) {
			this.#watched = watched;
			this.parts.network.monitor(watched);
		}
	}

	/** Selects the monitors of this entry in its zone, and informs peers whose role changes. */
	#chooseMonitors(): void {
		const {self} = this.parts.network;
		const zoneMembers = [...this.parts.members()].filter(({member}) => member.zone === self.zone);
		const monitors = new Set(rankByKey(self.peerAddress, zoneMembers, ({member}) => member.peerAddress).slice(0, monitorsPerEntry));
		for (const known of zoneMembers) {
			const isMonitor = monitors.has(known);
			if (isMonitor !== known.isMonitor) {
				known.isMonitor = isMonitor;
				this.parts.sendState(known);
			}
		}
	}
}

function meshOf(peers: readonly PoolMember[]): Mesh {
	if (peers.length > fullMeshLimit) {
		return 'extended';
	}

	return peers.some(({mesh}) => mesh === 'extended') ? 'bordering' : 'full';
}

function timingOf(isActive: boolean, isMonitor: boolean) {
	if (isActive) {
		return heartbeats.active;
	}

	return isMonitor ? heartbeats.monitored : heartbeats.idle;
}

function areEqual(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
	return left.size === right.size && [...left].every(item => right.has(item));
}
