/** Selects the peers to keep connections to. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PeerEndpoint} from './peer-endpoint.js';
import {fullMeshLimit} from './full-mesh-limit.js';

/**
 * Peers selected from each other zone. Two, so that the zone stays connected when one of them is lost. An entry among 96 in 6 zones then
 * has 34 connections instead of 95, and 38 heartbeats a second instead of 155, counted in memory.
 */
const peersPerZone = 2;
/** After this time without a connection another peer of the zone is tried. */
const dialTimeoutMilliseconds = 1000;
/** How long an unreachable peer is skipped. The peers of a partitioned zone are dialled in turn, not all at once. */
const skipMilliseconds = 2000;

/** Dependencies of the selection. */
type NeighboursParts = {
	readonly self: {readonly address: string; readonly zone: AvailabilityZone};
	readonly clock: Clock;
};

/**
 * Selects all peers of the own zone, since its targets move among them, and a few of each other zone by rendezvous hashing, which
 * bounds the number of connections between zones.
 */
export class Neighbours {
	readonly #zones = new Map<string, AvailabilityZone | undefined>();
	/** When a selected peer that isn't connected was first dialled. */
	readonly #dialledAt = new Map<string, number>();
	readonly #skippedUntil = new Map<string, number>();
	/** Peers of the other zones in order of preference; recomputed when a peer is added. */
	#ranked: ReadonlyMap<AvailabilityZone, readonly string[]> | undefined;

	constructor(private readonly parts: NeighboursParts) {}

	/** All known peers whose zone is known. */
	get known(): readonly PeerEndpoint[] {
		return [...this.#zones].filter(([, zone]) => zone !== undefined).map(([address, zone]) => ({address, zone}));
	}

	/** Adds a peer, or the zone of a known address. */
	add({address, zone}: PeerEndpoint): void {
		const isNew = !this.#zones.has(address);
		if (address === this.parts.self.address || (!isNew && (zone === undefined || this.#zones.get(address) === zone))) {
			return;
		}

		this.#zones.set(address, zone);
		this.#ranked = undefined;
	}

	/** Returns the addresses to connect to; `connected` are the addresses of connected peers. */
	choose(connected: ReadonlySet<string>): ReadonlySet<string> {
		if (this.#zones.size <= fullMeshLimit) {
			return new Set(this.#zones.keys());
		}

		const chosen = new Set<string>();
		for (const [address, zone] of this.#zones) {
			if (zone === undefined || zone === this.parts.self.zone) {
				chosen.add(address);
			}
		}

		this.#ranked ??= this.#rank();
		for (const ranked of this.#ranked.values()) {
			for (const address of this.#chooseFrom(ranked, connected)) {
				chosen.add(address);
			}
		}

		return chosen;
	}

	#chooseFrom(ranked: readonly string[], connected: ReadonlySet<string>): readonly string[] {
		const now = this.parts.clock.now();
		const chosen: string[] = [];
		for (const address of ranked) {
			if (chosen.length === peersPerZone) {
				break;
			}

			if (connected.has(address) || this.#mayDial(address, now)) {
				chosen.push(address);
			}
		}

		return chosen;
	}

	/** Whether to dial a peer that isn't connected; one that has been dialled for too long is skipped for a while. */
	#mayDial(address: string, now: number): boolean {
		if (now < (this.#skippedUntil.get(address) ?? 0)) {
			return false;
		}

		const dialledAt = this.#dialledAt.get(address);
		if (dialledAt === undefined || now - dialledAt > dialTimeoutMilliseconds + skipMilliseconds) {
			this.#dialledAt.set(address, now);
			return true;
		}

		if (now - dialledAt <= dialTimeoutMilliseconds) {
			return true;
		}

		this.#skippedUntil.set(address, now + skipMilliseconds);
		return false;
	}

	#rank(): ReadonlyMap<AvailabilityZone, readonly string[]> {
		const {address: self, zone: own} = this.parts.self;
		const byZone = new Map<AvailabilityZone, string[]>();
		for (const [address, zone] of this.#zones) {
			if (zone !== undefined && zone !== own) {
				byZone.set(zone, [...byZone.get(zone) ?? [], address]);
			}
		}

		return new Map([...byZone].map(([zone, addresses]) => [zone, rankByKey(self, addresses, address => address)]));
	}
}
