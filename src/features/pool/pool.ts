/** The entries that share their targets' room. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {decodeMessages} from './decode-messages.js';
import type {EntryState} from './entry-state.js';
import {Outbox} from './outbox.js';
import type {PoolMember} from './pool-member.js';
import type {PoolMessage} from './pool-message.js';
import {placesFor} from './places-for.js';

const channel = 'pool';
/** How often it's considered to send a heartbeat, and the time between two of them in a small fleet. */
const heartbeatMilliseconds = 100;
/**
 * Every entry hears every other one, so that each sends and receives so many heartbeats a second: at about 0.05 ms each
 * way, 100 of them take 1% of a core.
 */
const heartbeatsInSecond = 100;
/** A quarter of the silence that counts as a loss: three heartbeats may be late or lost. */
const slowestHeartbeatMilliseconds = 200;
/** An entry that missed two heartbeats and half of the next may be gone; nothing new is sent there. */
const heartbeatsToMiss = 2.5;
/**
 * Changes of room are told at most so often, and only while some entry has waiting tasks; else the heartbeat tells them.
 * No later than a small part of a short task, and a few messages where nobody would use them.
 */
const changeMilliseconds = 20;
/**
 * A change of room is told to so many of those that wait, by turns, and to no more than twice as many as it has places for:
 * the same room isn't offered to everybody, since all but one would be refused. One that is told may have found room
 * elsewhere meanwhile, hence the double. The messages of an overloaded fleet don't grow with the square of its size.
 */
const toldAtOnce = 7;
const toldForPlace = 2;
/**
 * An entry that was silent for so long is taken as lost. Clients submit again 1300 ms after a loss: by then its tasks on
 * other entries' targets must have been stopped.
 */
const silenceMilliseconds = 800;

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
	#toldAt = 0;
	#changeToldAt = 0;
	#toldUpTo = 0;
	#pending: Disposable | undefined;
	#isForAll = false;

	constructor(
		private readonly network: PeerNetwork,
		private readonly ownState: () => EntryState,
		private readonly clock: Clock,
		private readonly journal: Journal,
	) {
		this.#outbox = new Outbox(network, channel, clock);
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

	/** Messages of other entries, but for their states. */
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
		return this.network.self.id;
	}

	/** All entries that were heard lately, without this one. */
	get members(): Iterable<PoolMember> {
		return this.#members.values();
	}

	/** How long ago a member may have been heard for new tasks to be sent there. */
	get freshMilliseconds(): number {
		return heartbeatsToMiss * this.#heartbeatPeriod;
	}

	/** Whether an entry was heard lately. */
	hears(id: MemberId): boolean {
		return this.#members.has(id);
	}

	start(): void {
		this.#store.add(repeat(this.clock, heartbeatMilliseconds, () => {
			this.#dropSilent();
			if (this.clock.now() - this.#toldAt >= this.#heartbeatPeriod - (heartbeatMilliseconds / 2)) {
				this.#tellAll();
			}
		}));
	}

	/** Connects to entries at these addresses, besides those that are known. */
	meet(addresses: Iterable<string>): void {
		for (const address of addresses) {
			if (address !== this.network.self.peerAddress) {
				this.#addresses.add(address);
			}
		}

		this.network.watch(this.#addresses);
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
		this.#isForAll = true;
		this.#scheduleChange();
	}

	/** Tells of a change of room, if anybody waits for room. */
	tellRoom(): void {
		if (this.#pending !== undefined) {
			return;
		}

		for (const member of this.#members.values()) {
			if (member.wanted.length > 0) {
				this.#scheduleChange();
				return;
			}
		}
	}

	dispose(): void {
		this.#pending?.dispose();
		this.#store.dispose();
	}

	get #heartbeatPeriod(): number {
		const period = this.#members.size * 1000 / heartbeatsInSecond;
		return Math.min(slowestHeartbeatMilliseconds, Math.max(heartbeatMilliseconds, period));
	}

	#scheduleChange(): void {
		if (this.#pending !== undefined) {
			return;
		}

		const due = this.#changeToldAt + changeMilliseconds - this.clock.now();
		this.#pending = this.clock.schedule(Math.max(0, due), () => {
			this.#pending = undefined;
			if (this.#isForAll) {
				this.#tellAll();
			} else {
				this.#tellWaiting();
			}
		});
	}

	#tellAll(): void {
		this.#pending?.dispose();
		this.#pending = undefined;
		this.#isForAll = false;
		this.#toldAt = this.clock.now();
		this.#changeToldAt = this.#toldAt;
		this.broadcast({kind: 'state', state: this.ownState()});
	}

	/** Room that nobody took is told again to the next ones. */
	#tellWaiting(): void {
		this.#changeToldAt = this.clock.now();
		const state = this.ownState();
		const waiting = [...this.#members.values()].filter(member => placesFor(member.wanted, state.room) > 0);
		const places = Math.max(0, ...waiting.map(member => placesFor(member.wanted, state.room)));
		const told = Math.min(toldAtOnce, toldForPlace * places, waiting.length);
		for (let count = 0; count < told; count += 1) {
			this.#toldUpTo += 1;
			const {member} = waiting[this.#toldUpTo % waiting.length]!;
			this.#outbox.put(member, {kind: 'state', state});
		}

		if (told > 0) {
			this.#scheduleChange();
		}
	}

	#meet(member: Member): void {
		this.meet([member.peerAddress]);
		this.#met.set(member.id, member);
		this.#members.set(member.id, {
			member, heardAt: this.clock.now(), isLeaving: false, routingVersion: 0, wanted: [], room: [],
		});
		this.journal.record('poolMemberMet', {member: member.id, zone: member.zone});
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

		this.#members.get(from.id)!.heardAt = this.clock.now();
		for (const message of messages) {
			this.#take(from, message);
		}
	}

	#read(from: Member, body: unknown): readonly PoolMessage[] {
		try {
			return decodeMessages(body);
		} catch (error) {
			this.journal.record('poolMessageUnreadable', {member: from.id, detail: (error as Error).message});
			return [];
		}
	}

	#take(from: Member, message: PoolMessage): void {
		if (message.kind === 'addresses') {
			this.meet(message.addresses);
			return;
		}

		if (message.kind === 'state') {
			// A listener of an earlier message of the batch may have found that the entry is gone.
			Object.assign(this.#members.get(from.id) ?? {}, message.state);
			this.#room.fire();
		}

		this.#message.fire({from, message});
	}

	#dropSilent(): void {
		const now = this.clock.now();
		for (const {member, heardAt} of this.#members.values()) {
			if (now - heardAt > silenceMilliseconds) {
				this.#drop(member.id, `silent for ${Math.round(now - heardAt)} ms`);
			}
		}
	}

	#drop(id: MemberId, cause: string): void {
		if (this.#members.delete(id)) {
			this.journal.record('poolMemberLost', {member: id, cause});
			this.#lose.fire(id);
		}
	}
}
