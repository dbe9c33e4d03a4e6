/** The entries that share their targets' room. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import type {Pause} from '../../runtime/pause.js';
import type {Member} from '../../runtime/peers/member.js';
import {decodeFrame} from './decode-frame.js';
import type {EntryState} from './entry-state.js';
import {Epochs} from './epochs.js';
import {heartbeats} from './heartbeats.js';
import type {KnownEntry} from './known-entry.js';
import type {Introduction} from './introduction.js';
import {Introductions} from './introductions.js';
import {Outbox} from './outbox.js';
import {PoolLinks} from './pool-links.js';
import type {PoolFrame} from './pool-frame.js';
import type {PoolMember} from './pool-member.js';
import type {PoolMessage} from './pool-message.js';
import type {PoolParts} from './pool-parts.js';
import {StateTeller} from './state-teller.js';

/** `isCurrent` is unset for what was sent in a former epoch: its sender was lost here since, or this entry stood still. */
type ReceivedPoolMessage = {readonly from: Member; readonly message: PoolMessage; readonly isCurrent: boolean};

const channel = 'pool';
/** How often it's looked which heartbeats are due, and who was silent for too long. */
const lookMilliseconds = 100;

/** Sends this entry's state to all others, and keeps theirs. */
export class Pool implements Disposable {
	readonly #members = new Map<MemberId, PoolMember>();
	/** Every life that was met: one that can't be heard may still hear, and has to be told to stop. */
	readonly #met = new Map<MemberId, Member>();
	readonly #introductions = new Introductions();
	readonly #store = new DisposableStore();
	readonly #epochs = new Epochs();
	readonly #message = new Emitter<ReceivedPoolMessage>();
	readonly #lose = new Emitter<MemberId>();
	readonly #loseTouch = new Emitter<string>();
	readonly #hearOfLoss = new Emitter<void>();
	readonly #reconnect = new Emitter<MemberId>();
	readonly #room = new Emitter<void>();
	readonly #outbox: Outbox;
	readonly #teller: StateTeller;
	readonly #links: PoolLinks;

	constructor(private readonly parts: PoolParts) {
		const {network, ownState, peersInUse, clock} = parts;
		const members = () => this.#members.values();
		this.#outbox = new Outbox({
			network, channel, epochs: this.#epochs, clock,
		});
		this.#teller = this.#store.add(new StateTeller({
			members, ownState, outbox: this.#outbox, clock,
		}));
		this.#links = new PoolLinks({
			network,
			members,
			peersInUse,
			tell: member => {
				this.#teller.tellOne(member);
			},
			clock,
		});
		this.#store.add(parts.pauses.onDidPause(pause => {
			this.#notePause(pause);
		}));
		this.#store.add(parts.pauses.onDidStandStill(milliseconds => {
			this.#noteStandstill(milliseconds);
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

	/** Fires once an entry is gone or was silent for too long, or has to be taken as such since this one was out of touch itself. */
	get onDidLose() {
		return this.#lose.event;
	}

	/** Fires with the cause when this entry stood still for so long that what it held may go on elsewhere. */
	get onDidLoseTouch() {
		return this.#loseTouch.event;
	}

	/** Fires when another entry has taken this one as lost, and this one hasn't noticed. */
	get onDidHearOfLoss() {
		return this.#hearOfLoss.event;
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

	/** Whether an entry gave its last heartbeat, for as often as entries in use give one. */
	hears(id: MemberId): boolean {
		const known = this.#members.get(id);
		return known !== undefined && this.parts.clock.now() - known.heardAt <= heartbeats.close.freshMilliseconds;
	}

	start(): void {
		this.#store.add(repeat(this.parts.clock, lookMilliseconds, () => {
			this.parts.pauses.look();
			this.#links.update();
			this.#dropSilent();
			this.#teller.beat(lookMilliseconds / 2);
		}));
	}

	/** Takes entries that this one didn't know, and connects to those that become its neighbours. */
	meet(entries: Iterable<KnownEntry>): void {
		this.#links.add(entries);
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

	/** Makes lives that were met known to others, by their ids. */
	introduce(ids: Iterable<MemberId>): readonly Introduction[] {
		const {network, clock} = this.parts;
		return [...ids].flatMap(id => {
			const member = id === this.self ? network.self : this.#met.get(id);
			const heardAt = this.#members.get(id)?.heardAt ?? clock.now();
			return member === undefined ? [] : [{member, silentMilliseconds: id === this.self ? 0 : Math.round(clock.now() - heardAt)}];
		});
	}

	/** For how long an entry hadn't been heard by the one that introduced it here last. */
	silenceBeforeIntroduction(id: MemberId): number {
		return this.#introductions.named(id)?.silentMilliseconds ?? 0;
	}

	/**
	 * Whether an entry is heard, or may be: one that was introduced counts as heard now, and has to answer like any other. One that
	 * was met and isn't heard any more is lost.
	 */
	reach(id: MemberId): boolean {
		const introduced = this.#introductions.named(id);
		if (introduced !== undefined && !this.#met.has(id)) {
			this.#meet(introduced.member);
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
		this.#outbox.put(member, {kind: 'entries', entries: this.#links.known});
		this.#teller.tellOne(known);
	}

	#receive(from: Member, body: unknown): void {
		this.parts.pauses.look();
		const frame = this.#read(from, body);
		if (frame === undefined) {
			return;
		}

		if (!this.#members.has(from.id)) {
			this.#meet(from);
		}

		this.#members.get(from.id)!.heardAt = this.parts.clock.now();
		// Before the messages: one of them may tell of runs that were stopped with the loss, which this entry would begin again.
		if (this.#epochs.hear(from.id, frame)) {
			this.#hearOfLoss.fire();
		}

		const isCurrent = this.#epochs.isCurrent(from.id, frame);
		for (const message of frame.messages) {
			this.#take(from, message, isCurrent);
		}
	}

	#read(from: Member, body: unknown): PoolFrame | undefined {
		try {
			return decodeFrame(body);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from.id, detail: (error as Error).message});
			return undefined;
		}
	}

	#take(from: Member, message: PoolMessage, isCurrent: boolean): void {
		if (message.kind === 'entries') {
			this.meet(message.entries);
			return;
		}

		for (const requester of message.kind === 'handover' ? message.requesters : []) {
			this.#introductions.add(requester);
		}

		if (message.kind === 'adopted') {
			// The new owner has heard of this entry less often than the former one, and has to know soon that it lives.
			this.tellMember(from.id);
		}

		if (message.kind === 'state') {
			this.#takeState(this.#members.get(from.id), message, isCurrent);
		}

		if (message.kind === 'lost') {
			this.#takeLoss(message.member);
		}

		this.#message.fire({from, message, isCurrent});
	}

	/** The member is gone where a listener of an earlier message of the batch has found it so. */
	#takeState(known: PoolMember | undefined, {state, isForWatcher}: Extract<PoolMessage, {kind: 'state'}>, isCurrent: boolean): void {
		if (known === undefined) {
			return;
		}

		const beginsToWait = known.wanted.length === 0 && state.wanted.length > 0;
		// A request for room that was told in a former epoch would be refused: it may have waited in a cut.
		Object.assign(known, state, {isWatched: isForWatcher, offers: 0, room: isCurrent ? state.room : []});
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

	/**
	 * Time that this entry's clock didn't count is part of the others' silence. After a pause each of them has to be heard within
	 * its next heartbeat: its last ones may still be unread, and the time of day may just have been set.
	 */
	#notePause({milliseconds, counted}: Pause): void {
		const now = this.parts.clock.now();
		for (const known of this.#members.values()) {
			const {silenceMilliseconds, periodMilliseconds} = known.rhythm;
			const heartbeat = periodMilliseconds + lookMilliseconds;
			const silentBefore = now - known.heardAt - counted;
			if (silentBefore <= heartbeat) {
				known.heardAt = Math.min(now, Math.max(now - milliseconds - silentBefore, now - silenceMilliseconds + heartbeat));
			} else {
				known.heardAt -= milliseconds - counted;
			}
		}
	}

	/**
	 * What others had asked for before has to be asked for again: they have begun it elsewhere, or were lost without being
	 * missed here.
	 */
	#noteStandstill(milliseconds: number): void {
		this.#epochs.notePause();
		this.#loseTouch.fire(`stood still for ${Math.round(milliseconds)} ms`);
		for (const id of this.#members.keys()) {
			this.#lose.fire(id);
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
			this.#epochs.noteLoss(id);
			this.#links.noteLoss();
			this.parts.journal.record('poolMemberLost', {member: id, cause});
			this.#lose.fire(id);
		}
	}
}
