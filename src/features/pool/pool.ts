/** The entries that share their targets' room. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import {repeat} from '../../base/repeat.js';
import type {Member} from '../../runtime/peers/member.js';
import {decodeMessages} from './decode-messages.js';
import type {EntryState} from './entry-state.js';
import type {HeartbeatRhythm} from './heartbeat-rhythm.js';
import {heartbeats} from './heartbeats.js';
import type {KnownEntry} from './known-entry.js';
import {Neighbours} from './neighbours.js';
import {Outbox} from './outbox.js';
import type {PoolMember} from './pool-member.js';
import type {PoolMessage} from './pool-message.js';
import type {PoolParts} from './pool-parts.js';
import {StateTeller} from './state-teller.js';

const channel = 'pool';
/** How often it's looked which heartbeats are due, and who was silent for too long. */
const lookMilliseconds = 100;
/** How often it's looked which neighbours don't answer, where nothing else has changed: half of the time that a dial may take. */
const watchMilliseconds = 500;
/** So many of its zone watch over an entry: one of them may be gone with it, and one may be slow. */
const watchersOfEach = 3;
/** Above the entries that any fleet has; those of earlier lives go first. */
const introducedLimit = 1000;
/**
 * In a fleet of no more others than this everybody is close to everybody. In a larger one only those are that run something for
 * each other: heartbeats, and what each entry does for them, would grow with the square of its size.
 */
const smallFleet = 12;

/** Sends this entry's state to all others, and keeps theirs. */
export class Pool implements Disposable {
	readonly #members = new Map<MemberId, PoolMember>();
	/** Those of whom others told, that this entry hasn't met. */
	readonly #introduced = new Map<MemberId, Member>();
	/** Every life that was met: one that can't be heard may still hear, and has to be told to stop. */
	readonly #met = new Map<MemberId, Member>();
	readonly #neighbours: Neighbours;
	readonly #store = new DisposableStore();
	readonly #message = new Emitter<{readonly from: Member; readonly message: PoolMessage}>();
	readonly #lose = new Emitter<MemberId>();
	readonly #reconnect = new Emitter<MemberId>();
	readonly #room = new Emitter<void>();
	readonly #outbox: Outbox;
	#watched: ReadonlySet<string> = new Set();
	#watchedAt = Number.NEGATIVE_INFINITY;
	readonly #teller: StateTeller;

	constructor(private readonly parts: PoolParts) {
		const {network, ownState, clock} = parts;
		const {peerAddress, zone} = network.self;
		this.#neighbours = new Neighbours({self: {address: peerAddress, zone}, clock});
		this.#outbox = new Outbox(network, channel, clock);
		this.#teller = this.#store.add(new StateTeller({
			members: () => this.#members.values(), ownState, outbox: this.#outbox, clock,
		}));
		this.#store.add(network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from, message.body);
			}
		}));
		this.#store.add(network.onDidMeet(member => {
			this.#meet(member);
		}));
		this.#store.add(network.onDidReconnect(member => {
			this.#reconnect.fire(member.id);
		}));
		this.#store.add(network.onDidProveDead(id => {
			this.#drop(id, 'its port refuses connections, or a newer life answers there');
		}));
	}

	/** Messages of other entries, but for the entries that they know. */
	get onDidReceive() {
		return this.#message.event;
	}

	/** Fires once an entry is gone or was silent for too long. */
	get onDidLose() {
		return this.#lose.event;
	}

	/** Fires when a connection was made anew: messages on the former one may be lost. */
	get onDidReconnect() {
		return this.#reconnect.event;
	}

	/** Fires after an entry told of its room. */
	get onDidChangeRoom() {
		return this.#room.event;
	}

	get self(): MemberId {
		return this.parts.network.self.id;
	}

	/** All entries that were heard lately, without this one. */
	get members(): Iterable<PoolMember> {
		return this.#members.values();
	}

	/** Whether a member was heard so lately that new tasks may be sent there. */
	isFresh({heardAt, rhythm}: PoolMember): boolean {
		return this.parts.clock.now() - heardAt <= rhythm.freshMilliseconds;
	}

	start(): void {
		this.#store.add(repeat(this.parts.clock, lookMilliseconds, () => {
			this.#sortMembers();
			this.#dropSilent();
			this.#teller.beat(lookMilliseconds / 2);
		}));
	}

	/** Takes entries that this one didn't know, and connects to those that become its neighbours. */
	meet(entries: Iterable<KnownEntry>): void {
		for (const entry of entries) {
			this.#neighbours.add(entry);
		}

		this.#watch();
	}

	send(to: MemberId, message: PoolMessage): void {
		const member = this.#met.get(to);
		if (member === undefined) {
			return;
		}

		this.#outbox.put(member, message);
		const known = this.#members.get(to);
		if (message.kind === 'report' && known !== undefined) {
			this.#teller.tellAlong(known);
		}
	}

	/** Lives that were met, by their ids. */
	named(ids: Iterable<MemberId>): readonly Member[] {
		return [...ids].map(id => id === this.self ? this.parts.network.self : this.#met.get(id)).filter(member => member !== undefined);
	}

	/**
	 * Whether an entry is heard, or may be: one that was introduced counts as heard now, and has to answer like any other. One that
	 * was met and isn't heard any more is lost.
	 */
	reach(id: MemberId): boolean {
		const introduced = this.#introduced.get(id);
		if (introduced !== undefined && !this.#met.has(id)) {
			this.#meet(introduced);
		}

		return this.#members.has(id);
	}

	broadcast(message: PoolMessage): void {
		for (const {member} of this.#members.values()) {
			this.#outbox.put(member, message);
		}
	}

	/** Tells all entries of a change, soon. */
	tellChange(): void {
		this.#teller.tellAll();
	}

	/** Tells one entry how it is here, which it seems not to know. */
	tellMember(id: MemberId): void {
		const known = this.#members.get(id);
		if (known !== undefined) {
			this.#teller.tellOne(known);
		}
	}

	/** Tells the entries that are close that tasks wait here, soon. */
	tellWaiting(): void {
		this.#teller.tellWaiting();
	}

	/** Tells of a change of room, if anybody waits for room. */
	tellRoom(): void {
		this.#teller.tellRoom();
	}

	dispose(): void {
		this.#store.dispose();
	}

	/** Decides how often each entry is heard, and which ones this one connects to. */
	#sortMembers(): void {
		const {peersInUse, clock} = this.parts;
		const isSmall = this.#members.size <= smallFleet;
		const inUse = isSmall ? undefined : peersInUse();
		let isChanged = this.parts.clock.now() - this.#watchedAt >= watchMilliseconds;
		for (const known of this.#members.values()) {
			const isClose = isSmall || inUse!.has(known.member.id);
			known.told = isClose ? heartbeats.close : (known.isWatcher ? heartbeats.near : heartbeats.distant);
			const rhythm = isClose ? heartbeats.close : (known.isWatched ? heartbeats.near : heartbeats.distant);
			if (rhythm !== known.rhythm) {
				known.rhythm = rhythm;
				known.rhythmSince = clock.now();
				isChanged = true;
			}
		}

		if (isChanged) {
			this.#watch();
		}
	}

	/** The few of this zone that have to notice when this entry is gone. One that becomes a watcher, or ceases to be one, is told. */
	#chooseWatchers(): void {
		const {self} = this.parts.network;
		const mates = [...this.#members.values()].filter(({member}) => member.zone === self.zone);
		const watchers = new Set(rankByKey(self.peerAddress, mates, ({member}) => member.peerAddress).slice(0, watchersOfEach));
		for (const known of mates) {
			const isWatcher = watchers.has(known);
			if (isWatcher !== known.isWatcher) {
				known.isWatcher = isWatcher;
				this.#teller.tellOne(known);
			}
		}
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
		for (const {member, rhythm} of this.#members.values()) {
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

	#meet(member: Member): void {
		const {clock, journal} = this.parts;
		const now = clock.now();
		const known: PoolMember = {
			member, heardAt: now, told: heartbeats.close, rhythm: heartbeats.close, rhythmSince: now, isWatcher: false, isWatched: false, offers: 0, isLeaving: false, routingVersion: 0, wanted: [], room: [],
		};
		this.#met.set(member.id, member);
		this.#members.set(member.id, known);
		this.meet([{address: member.peerAddress, zone: member.zone}]);
		journal.record('poolMemberMet', {member: member.id, zone: member.zone});
		this.#outbox.put(member, {kind: 'entries', entries: this.#neighbours.known});
		this.#teller.tellOne(known);
	}

	#receive(from: Member, body: unknown): void {
		const messages = this.#read(from, body);
		if (messages.length === 0) {
			return;
		}

		if (!this.#members.has(from.id)) {
			this.#meet(from);
		}

		this.#members.get(from.id)!.heardAt = this.parts.clock.now();
		for (const message of messages) {
			this.#take(from, message);
		}
	}

	#read(from: Member, body: unknown): readonly PoolMessage[] {
		try {
			return decodeMessages(body);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from.id, detail: (error as Error).message});
			return [];
		}
	}

	#take(from: Member, message: PoolMessage): void {
		if (message.kind === 'entries') {
			this.meet(message.entries);
			return;
		}

		for (const requester of message.kind === 'handover' ? message.requesters : []) {
			this.#introduce(requester);
		}

		if (message.kind === 'adopted') {
			// The new owner has heard of this entry less often than the former one, and has to know soon that it lives.
			this.tellMember(from.id);
		}

		if (message.kind === 'state') {
			this.#takeState(this.#members.get(from.id), message);
		}

		if (message.kind === 'lost') {
			this.#takeLoss(message.member);
		}

		this.#message.fire({from, message});
	}

	#introduce(member: Member): void {
		if (this.#met.has(member.id) || member.id === this.self) {
			return;
		}

		this.#introduced.set(member.id, member);
		const [oldest] = this.#introduced.keys();
		if (this.#introduced.size > introducedLimit) {
			this.#introduced.delete(oldest!);
		}
	}

	/** The member is gone where a listener of an earlier message of the batch has found it so. */
	#takeState(known: PoolMember | undefined, {state, isForWatcher}: Extract<PoolMessage, {kind: 'state'}>): void {
		if (known === undefined) {
			return;
		}

		const beginsToWait = known.wanted.length === 0 && state.wanted.length > 0;
		Object.assign(known, state, {isWatched: isForWatcher, offers: 0});
		this.#room.fire();
		if (beginsToWait) {
			// It may not know of room that is here since the last heartbeat.
			this.tellRoom();
		}
	}

	/** A watcher misses an entry. One that was heard here since its last heartbeat to the watcher was due, or that is in use, stays. */
	#takeLoss(id: MemberId): void {
		const known = this.#members.get(id);
		if (known?.rhythm === heartbeats.distant && this.parts.clock.now() - known.heardAt > heartbeats.near.periodMilliseconds) {
			this.#drop(id, 'missed by an entry that watches over it');
		}
	}

	#tellLoss(lost: MemberId): void {
		const {zone} = this.parts.network.self;
		for (const {member} of this.#members.values()) {
			if (member.zone === zone) {
				this.#outbox.put(member, {kind: 'lost', member: lost});
			}
		}
	}

	#dropSilent(): void {
		const now = this.parts.clock.now();
		for (const {member, heardAt, rhythm, rhythmSince, isWatched} of this.#members.values()) {
			// One that has just become close had no reason to be heard more often before.
			const silence = now - (rhythm === heartbeats.distant ? heardAt : Math.max(heardAt, rhythmSince));
			if (silence > rhythm.silenceMilliseconds) {
				this.#drop(member.id, `silent for ${Math.round(silence)} ms`);
				if (isWatched) {
					this.#tellLoss(member.id);
				}
			}
		}
	}

	#drop(id: MemberId, cause: string): void {
		if (this.#members.delete(id)) {
			this.#watchedAt = Number.NEGATIVE_INFINITY;
			this.parts.journal.record('poolMemberLost', {member: id, cause});
			this.#lose.fire(id);
		}
	}
}

function areEqual(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
	return left.size === right.size && [...left].every(item => right.has(item));
}
