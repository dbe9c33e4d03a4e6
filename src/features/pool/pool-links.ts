/** How often this entry and the others hear of each other, and which connections it keeps. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {heartbeats} from './heartbeats.js';
import type {KnownEntry} from './known-entry.js';
import {Neighbours} from './neighbours.js';
import type {PoolMember} from './pool-member.js';
import {smallFleet} from './small-fleet.js';

/** How often it's looked which neighbours don't answer, where nothing else has changed: half of the time that a dial may take. */
const watchMilliseconds = 500;
/** So many of its zone watch over an entry: one of them may be gone with it, and one may be slow. */
const watchersOfEach = 3;
/** What the links depend on. */
type PoolLinksParts = {
	readonly network: PeerNetwork;
	readonly members: () => Iterable<PoolMember>;
	/** Entries that run something for this one, or that this one runs something for. */
	readonly peersInUse: () => ReadonlySet<MemberId>;
	/** Tells an entry the state of this one, and whether it's its watcher. */
	readonly tell: (member: PoolMember) => void;
	readonly clock: Clock;
};

/** Sets the rhythms of all members, and has the network keep the connections that are worth it. */
export class PoolLinks {
	readonly #neighbours: Neighbours;
	#watched: ReadonlySet<string> = new Set();
	#watchedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: PoolLinksParts) {
		const {network, clock} = parts;
		const {peerAddress, zone} = network.self;
		this.#neighbours = new Neighbours({self: {address: peerAddress, zone}, clock});
	}

	/** All entries that are known, met or not. */
	get known(): readonly KnownEntry[] {
		return this.#neighbours.known;
	}

	/** Takes entries, and connects to those that become neighbours. */
	add(entries: Iterable<KnownEntry>): void {
		for (const entry of entries) {
			this.#neighbours.add(entry);
		}

		this.#watch();
	}

	/** Sets how often each member is told and heard; looks after the connections where that, or the members, changed. */
	update(): void {
		const {members, peersInUse, clock} = this.parts;
		const fleet = [...members()];
		const inUse = fleet.length <= smallFleet ? undefined : peersInUse();
		let isDue = clock.now() - this.#watchedAt >= watchMilliseconds;
		for (const known of fleet) {
			const isClose = inUse?.has(known.member.id) ?? true;
			known.told = rhythmOf(isClose, known.isWatcher);
			const rhythm = rhythmOf(isClose, known.isWatched);
			if (rhythm !== known.rhythm) {
				known.rhythm = rhythm;
				known.rhythmSince = clock.now();
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
		this.#chooseWatchers();
		const met = new Set<string>();
		const unused = new Set<string>();
		for (const {member, rhythm} of this.parts.members()) {
			met.add(member.peerAddress);
			if (rhythm !== heartbeats.close) {
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
	#chooseWatchers(): void {
		const {self} = this.parts.network;
		const mates = [...this.parts.members()].filter(({member}) => member.zone === self.zone);
		const watchers = new Set(rankByKey(self.peerAddress, mates, ({member}) => member.peerAddress).slice(0, watchersOfEach));
		for (const known of mates) {
			const isWatcher = watchers.has(known);
			if (isWatcher !== known.isWatcher) {
				known.isWatcher = isWatcher;
				this.parts.tell(known);
			}
		}
	}
}

function rhythmOf(isClose: boolean, isWatching: boolean) {
	if (isClose) {
		return heartbeats.close;
	}

	return isWatching ? heartbeats.near : heartbeats.distant;
}

function areEqual(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
	return left.size === right.size && [...left].every(item => right.has(item));
}
