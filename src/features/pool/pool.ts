/** The entries that share their targets' room. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import type {Member} from '../../runtime/peers/member.js';
import {decodeMessages} from './decode-messages.js';
import type {EntryState} from './entry-state.js';
import {heartbeats} from './heartbeats.js';
import {Outbox} from './outbox.js';
import type {PoolMember} from './pool-member.js';
import type {PoolMessage} from './pool-message.js';
import type {PoolParts} from './pool-parts.js';
import {StateTeller} from './state-teller.js';

const channel = 'pool';
/** How often it's looked which heartbeats are due, and who was silent for too long. */
const lookMilliseconds = 100;
/**
 * In a fleet of no more others than this everybody is close to everybody. In a larger one those of the same zone are, and those
 * that run something for each other: heartbeats, and what each entry does for them, would grow with the square of its size.
 */
const smallFleet = 12;

/** Sends this entry's state to all others, and keeps theirs. */
export class Pool implements Disposable {
	readonly #members = new Map<MemberId, PoolMember>();
	/** Every life that was met: one that can't be heard may still hear, and has to be told to stop. */
	readonly #met = new Map<MemberId, Member>();
	readonly #addresses = new Set<string>();
	readonly #store = new DisposableStore();
	readonly #message = new Emitter<{readonly from: Member; readonly message: PoolMessage}>();
	readonly #lose = new Emitter<MemberId>();
	readonly #reconnect = new Emitter<MemberId>();
	readonly #room = new Emitter<void>();
	readonly #outbox: Outbox;
	readonly #teller: StateTeller;

	constructor(private readonly parts: PoolParts) {
		const {network, ownState, clock} = parts;
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

	/** Messages of other entries, but for the addresses that they know. */
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
	isFresh({heardAt, isClose}: PoolMember): boolean {
		const limit = isClose ? heartbeats.closeFreshMilliseconds : heartbeats.distantFreshMilliseconds;
		return this.parts.clock.now() - heardAt <= limit;
	}

	/** Whether an entry was heard lately. */
	hears(id: MemberId): boolean {
		return this.#members.has(id);
	}

	start(): void {
		this.#store.add(repeat(this.parts.clock, lookMilliseconds, () => {
			this.#sortMembers();
			this.#dropSilent();
			this.#teller.beat(lookMilliseconds / 2);
		}));
	}

	/** Connects to entries at these addresses, besides those that are known. */
	meet(addresses: Iterable<string>): void {
		for (const address of addresses) {
			if (address !== this.parts.network.self.peerAddress) {
				this.#addresses.add(address);
			}
		}

		this.#watch();
	}

	send(to: MemberId, message: PoolMessage): void {
		const member = this.#met.get(to);
		if (member !== undefined) {
			this.#outbox.put(member, message);
		}
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
		this.send(id, {kind: 'state', state: this.parts.ownState()});
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

	/** Connections to entries that are close are watched; the others are used as they are, and made anew when they're needed. */
	#sortMembers(): void {
		const {network, peersInUse, clock} = this.parts;
		const isSmall = this.#members.size <= smallFleet;
		const inUse = isSmall ? undefined : peersInUse();
		let isChanged = false;
		for (const known of this.#members.values()) {
			const {member} = known;
			const isClose = isSmall || member.zone === network.self.zone || inUse!.has(member.id);
			if (isClose !== known.isClose) {
				known.isClose = isClose;
				known.closeSince = clock.now();
				isChanged = true;
			}
		}

		if (isChanged) {
			this.#watch();
		}
	}

	#watch(): void {
		const distant = new Set([...this.#members.values()].filter(({isClose}) => !isClose).map(({member}) => member.peerAddress));
		this.parts.network.watch(new Set([...this.#addresses].filter(address => !distant.has(address))));
	}

	#meet(member: Member): void {
		this.meet([member.peerAddress]);
		this.#met.set(member.id, member);
		this.#members.set(member.id, {
			member, heardAt: this.parts.clock.now(), isClose: true, closeSince: this.parts.clock.now(), isLeaving: false, routingVersion: 0, wanted: [], room: [],
		});
		this.parts.journal.record('poolMemberMet', {member: member.id, zone: member.zone});
		this.#outbox.put(member, {kind: 'addresses', addresses: [...this.#addresses]});
		this.tellChange();
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
		if (message.kind === 'addresses') {
			this.meet(message.addresses);
			return;
		}

		if (message.kind === 'adopted') {
			// The new owner has heard of this entry less often than the former one, and has to know soon that it lives.
			this.tellMember(from.id);
		}

		if (message.kind === 'state') {
			this.#takeState(this.#members.get(from.id), message.state);
		}

		this.#message.fire({from, message});
	}

	/** The member is gone where a listener of an earlier message of the batch has found it so. */
	#takeState(known: PoolMember | undefined, state: EntryState): void {
		if (known === undefined) {
			return;
		}

		const beginsToWait = known.wanted.length === 0 && state.wanted.length > 0;
		Object.assign(known, state);
		this.#room.fire();
		if (beginsToWait) {
			// It may not know of room that is here since the last heartbeat.
			this.tellRoom();
		}
	}

	#dropSilent(): void {
		const now = this.parts.clock.now();
		for (const {member, heardAt, isClose, closeSince} of this.#members.values()) {
			const limit = isClose ? heartbeats.closeSilenceMilliseconds : heartbeats.distantSilenceMilliseconds;
			// One that has just become close had no reason to be heard more often before.
			const silence = now - (isClose ? Math.max(heardAt, closeSince) : heardAt);
			if (silence > limit) {
				this.#drop(member.id, `silent for ${Math.round(silence)} ms`);
			}
		}
	}

	#drop(id: MemberId, cause: string): void {
		if (this.#members.delete(id)) {
			this.parts.journal.record('poolMemberLost', {member: id, cause});
			this.#lose.fire(id);
		}
	}
}
