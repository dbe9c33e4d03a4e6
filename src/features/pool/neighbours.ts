/** Which entries this one keeps connections to. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PeerEndpoint} from './peer-endpoint.js';
import {fullMeshLimit} from './full-mesh-limit.js';

/**
 * So many of each other zone are chosen; about as many more choose this entry. Their room is enough for what the own zone
 * can't take, and one of them may go without the zone being out of sight. Between 96 entries of 6 zones that leaves 34 of
 * 95 connections an entry, and with them 38 of 155 heartbeats a second each way (counted in memory).
 */
const chosenOfZone = 2;
/** A dial that takes longer has met a machine that is gone, or a cut: another entry of the zone is tried. */
const dialMilliseconds = 1000;
/** After which such an entry may be tried again. While a zone is cut off its entries are dialled in turn, not all at once. */
const setAsideMilliseconds = 2000;

/** What the choice depends on. */
type NeighboursParts = {
	readonly self: {readonly address: string; readonly zone: AvailabilityZone};
	readonly clock: Clock;
};

/**
 * All entries of the own zone, since its targets move among them, and a few of each other zone by rendezvous hashing. What an
 * entry does for its connections would otherwise grow with the fleet: dials, handshakes, heartbeats, and the dials
 * of all others while a zone is cut off.
 */
export class Neighbours {
	readonly #zones = new Map<string, AvailabilityZone | undefined>();
	/** Since when an entry is chosen that isn't met. */
	readonly #dialledAt = new Map<string, number>();
	readonly #setAsideUntil = new Map<string, number>();
	/** Other zones' entries in the order of preference; made anew when one is added. */
	#ranked: ReadonlyMap<AvailabilityZone, readonly string[]> | undefined;

	constructor(private readonly parts: NeighboursParts) {}

	/** All entries that are known, but for those whose zone isn't. */
	get known(): readonly PeerEndpoint[] {
		return [...this.#zones].filter(([, zone]) => zone !== undefined).map(([address, zone]) => ({address, zone}));
	}

	/** Takes an entry, or its zone. */
	add({address, zone}: PeerEndpoint): void {
		const isNew = !this.#zones.has(address);
		if (address === this.parts.self.address || (!isNew && (zone === undefined || this.#zones.get(address) === zone))) {
			return;
		}

		this.#zones.set(address, zone);
		this.#ranked = undefined;
	}

	/** The addresses to connect to; `met` are those of entries that are heard. */
	choose(met: ReadonlySet<string>): ReadonlySet<string> {
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
			for (const address of this.#chooseOf(ranked, met)) {
				chosen.add(address);
			}
		}

		return chosen;
	}

	#chooseOf(ranked: readonly string[], met: ReadonlySet<string>): readonly string[] {
		const now = this.parts.clock.now();
		const chosen: string[] = [];
		for (const address of ranked) {
			if (chosen.length === chosenOfZone) {
				break;
			}

			if (met.has(address) || this.#mayDial(address, now)) {
				chosen.push(address);
			}
		}

		return chosen;
	}

	/** Whether an entry that isn't met is worth a dial now; one that was dialled for too long is set aside. */
	#mayDial(address: string, now: number): boolean {
		if (now < (this.#setAsideUntil.get(address) ?? 0)) {
			return false;
		}

		const dialledAt = this.#dialledAt.get(address);
		if (dialledAt === undefined || now - dialledAt > dialMilliseconds + setAsideMilliseconds) {
			this.#dialledAt.set(address, now);
			return true;
		}

		if (now - dialledAt <= dialMilliseconds) {
			return true;
		}

		this.#setAsideUntil.set(address, now + setAsideMilliseconds);
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
