/** The entries that share their targets' room. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import type {Pause} from '../../runtime/pause.js';
import type {Member} from '../../runtime/peers/member.js';
import {decodeFrame} from './decode-frame.js';
import type {NodeState} from './node-state.js';
import {Epochs} from './epochs.js';
import {heartbeats} from './heartbeats.js';
import type {PeerEndpoint} from './peer-endpoint.js';
import type {PeerDescriptor} from './peer-descriptor.js';
import {PeerDescriptors} from './peer-descriptors.js';
import {Outbox} from './outbox.js';
import {PoolConnections} from './pool-connections.js';
import type {PoolFrame} from './pool-frame.js';
import type {PoolMember} from './pool-member.js';
import type {PoolMessage} from './pool-message.js';
import type {PoolParts} from './pool-parts.js';
import {StateBroadcaster} from './state-broadcaster.js';

/** `isCurrent` is unset for what was sent in a former epoch: its sender was lost here since, or this entry stood still. */
type ReceivedPoolMessage = {readonly from: Member; readonly message: PoolMessage; readonly isCurrent: boolean};

const channel = 'pool';
/** How often it's looked which heartbeats are due, and who was silent for too long. */
const checkMilliseconds = 100;

/** Sends this entry's state to all others, and keeps theirs. */
export class Pool implements Disposable {
	readonly #members = new Map<MemberId, PoolMember>();
	/** Every life that was met: one that can't be heard may still hear, and has to be told to stop. */
	readonly #everMet = new Map<MemberId, Member>();
	readonly #descriptors = new PeerDescriptors();
	readonly #store = new DisposableStore();
	readonly #epochs = new Epochs();
	readonly #message = new Emitter<ReceivedPoolMessage>();
	readonly #loseMember = new Emitter<MemberId>();
	readonly #stall = new Emitter<string>();
	readonly #detectEviction = new Emitter<void>();
	readonly #reconnect = new Emitter<MemberId>();
	readonly #changeCapacity = new Emitter<void>();
	readonly #outbox: Outbox;
	readonly #broadcaster: StateBroadcaster;
	readonly #connections: PoolConnections;

	constructor(private readonly parts: PoolParts) {
		const {network, ownState, peersInUse, clock} = parts;
		const members = () => this.#members.values();
		this.#outbox = new Outbox({
			network, channel, epochs: this.#epochs, clock,
		});
		this.#broadcaster = this.#store.add(new StateBroadcaster({
			members, ownState, outbox: this.#outbox, clock,
		}));
		this.#connections = new PoolConnections({
			network,
			members,
			peersInUse,
			tell: member => {
				this.#broadcaster.sendTo(member);
			},
			clock,
		});
		this.#store.add(parts.pauses.onDidPause(pause => {
			this.#handlePause(pause);
		}));
		this.#store.add(parts.pauses.onDidStandStill(milliseconds => {
			this.#handleStall(milliseconds);
		}));
		this.#store.add(network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from, message.body);
			}
		}));
		this.#store.add(network.onDidMeet(member => {
			this.#addMember(member);
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
	get onDidLoseMember() {
		return this.#loseMember.event;
	}

	/** Fires with the cause when this entry stood still for so long that what it held may go on elsewhere. */
	get onDidStall() {
		return this.#stall.event;
	}

	/** Fires when another entry has taken this one as lost, and this one hasn't noticed. */
	get onDidDetectEviction() {
		return this.#detectEviction.event;
	}

	/** Fires when a connection was made anew: messages on the former one may be lost. */
	get onDidReconnect() {
		return this.#reconnect.event;
	}

	/** Fires after an entry told of its room. */
	get onDidChangeCapacity() {
		return this.#changeCapacity.event;
	}

	get self(): MemberId {
		return this.parts.network.self.id;
	}

	/** All entries that were heard lately, without this one. */
	get members(): Iterable<PoolMember> {
		return this.#members.values();
	}

	/** Whether a member was heard so lately that new tasks may be sent there. */
	isFresh({heardAt, expectedTiming}: PoolMember): boolean {
		return this.parts.clock.now() - heardAt <= expectedTiming.staleAfterMilliseconds;
	}

	/** Whether an entry gave its last heartbeat, for as often as entries in use give one. */
	isResponsive(id: MemberId): boolean {
		const known = this.#members.get(id);
		return known !== undefined && this.parts.clock.now() - known.heardAt <= heartbeats.active.staleAfterMilliseconds;
	}

	start(): void {
		this.#store.add(repeat(this.parts.clock, checkMilliseconds, () => {
			this.parts.pauses.look();
			this.#connections.update();
			this.#dropUnresponsive();
			this.#broadcaster.sendHeartbeats(checkMilliseconds / 2);
		}));
	}

	/** Takes entries that this one didn't know, and connects to those that become its neighbours. */
	addPeers(entries: Iterable<PeerEndpoint>): void {
		this.#connections.add(entries);
	}

	send(to: MemberId, message: PoolMessage): void {
		const member = this.#everMet.get(to);
		if (member === undefined) {
			return;
		}

		this.#outbox.put(member, message);
		const known = this.#members.get(to);
		if (message.kind === 'report' && known !== undefined) {
			this.#broadcaster.piggyback(known);
		}
	}

	/** Makes lives that were met known to others, by their ids. */
	describePeers(ids: Iterable<MemberId>): readonly PeerDescriptor[] {
		const {network, clock} = this.parts;
		return [...ids].flatMap(id => {
			const member = id === this.self ? network.self : this.#everMet.get(id);
			const heardAt = this.#members.get(id)?.heardAt ?? clock.now();
			return member === undefined ? [] : [{member, silentMilliseconds: id === this.self ? 0 : Math.round(clock.now() - heardAt)}];
		});
	}

	/** For how long an entry hadn't been heard by the one that introduced it here last. */
	reportedSilence(id: MemberId): number {
		return this.#descriptors.get(id)?.silentMilliseconds ?? 0;
	}

	/**
	 * Whether an entry is heard, or may be: one that was introduced counts as heard now, and has to answer like any other. One that
	 * was met and isn't heard any more is lost.
	 */
	ensureMember(id: MemberId): boolean {
		const introduced = this.#descriptors.get(id);
		if (introduced !== undefined && !this.#everMet.has(id)) {
			this.#addMember(introduced.member);
		}

		return this.#members.has(id);
	}

	broadcast(message: PoolMessage): void {
		for (const {member} of this.#members.values()) {
			this.#outbox.put(member, message);
		}
	}

	/** Tells all entries of a change, soon. */
	broadcastState(): void {
		this.#broadcaster.broadcast();
	}

	/** Tells one entry how it is here, which it seems not to know. */
	sendState(id: MemberId): void {
		const known = this.#members.get(id);
		if (known !== undefined) {
			this.#broadcaster.sendTo(known);
		}
	}

	/** Tells the entries that are close that tasks wait here, soon. */
	announceDemand(): void {
		this.#broadcaster.announceDemand();
	}

	/** Tells of a change of room, if anybody waits for room. */
	announceCapacity(): void {
		this.#broadcaster.announceCapacity();
	}

	dispose(): void {
		this.#store.dispose();
	}

	#addMember(member: Member): void {
		const {clock, journal} = this.parts;
		const now = clock.now();
		const known: PoolMember = {
			member, heardAt: now, sendTiming: heartbeats.active, expectedTiming: heartbeats.active, timingChangedAt: now, isMonitor: false, isMonitored: false, capacityUpdates: 0, isLeaving: false, routingVersion: 0, demand: [], freeCapacity: [],
		};
		this.#everMet.set(member.id, member);
		this.#members.set(member.id, known);
		this.addPeers([{address: member.peerAddress, zone: member.zone}]);
		journal.record('poolMemberMet', {member: member.id, zone: member.zone});
		this.#outbox.put(member, {kind: 'entries', entries: this.#connections.known});
		this.#broadcaster.sendTo(known);
	}

	#receive(from: Member, body: unknown): void {
		this.parts.pauses.look();
		const frame = this.#decode(from, body);
		if (frame === undefined) {
			return;
		}

		if (!this.#members.has(from.id)) {
			this.#addMember(from);
		}

		this.#members.get(from.id)!.heardAt = this.parts.clock.now();
		// Before the messages: one of them may tell of runs that were stopped with the loss, which this entry would begin again.
		if (this.#epochs.observe(from.id, frame)) {
			this.#detectEviction.fire();
		}

		const isCurrent = this.#epochs.isCurrent(from.id, frame);
		for (const message of frame.messages) {
			this.#handle(from, message, isCurrent);
		}
	}

	#decode(from: Member, body: unknown): PoolFrame | undefined {
		try {
			return decodeFrame(body);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from.id, detail: (error as Error).message});
			return undefined;
		}
	}

	#handle(from: Member, message: PoolMessage, isCurrent: boolean): void {
		if (message.kind === 'entries') {
			this.addPeers(message.entries);
			return;
		}

		for (const requester of message.kind === 'handover' ? message.requesters : []) {
			this.#descriptors.add(requester);
		}

		if (message.kind === 'adopted') {
			// The new owner has heard of this entry less often than the former one, and has to know soon that it lives.
			this.sendState(from.id);
		}

		if (message.kind === 'state') {
			this.#handleState(this.#members.get(from.id), message, isCurrent);
		}

		if (message.kind === 'lost') {
			this.#handleReportedLoss(message.member);
		}

		this.#message.fire({from, message, isCurrent});
	}

	/** The member is gone where a listener of an earlier message of the batch has found it so. */
	#handleState(known: PoolMember | undefined, {state, isForMonitor}: Extract<PoolMessage, {kind: 'state'}>, isCurrent: boolean): void {
		if (known === undefined) {
			return;
		}

		const hasNewDemand = known.demand.length === 0 && state.demand.length > 0;
		// A request for room that was told in a former epoch would be refused: it may have waited in a cut.
		Object.assign(known, state, {isMonitored: isForMonitor, capacityUpdates: 0, freeCapacity: isCurrent ? state.freeCapacity : []});
		this.#changeCapacity.fire();
		if (hasNewDemand) {
			// It may not know of room that is here since the last heartbeat.
			this.announceCapacity();
		}
	}

	/** A watcher misses an entry. One that was heard here since its last heartbeat to the watcher was due, or that is in use, stays. */
	#handleReportedLoss(id: MemberId): void {
		const known = this.#members.get(id);
		if (known?.expectedTiming === heartbeats.idle && this.parts.clock.now() - known.heardAt > heartbeats.monitored.periodMilliseconds) {
			this.#drop(id, 'missed by an entry that watches over it');
		}
	}

	/**
	 * Time that this entry's clock didn't count is part of the others' silence. After a pause each of them has to be heard within
	 * its next heartbeat: its last ones may still be unread, and the time of day may just have been set.
	 */
	#handlePause({milliseconds, counted}: Pause): void {
		const now = this.parts.clock.now();
		for (const known of this.#members.values()) {
			const {timeoutMilliseconds, periodMilliseconds} = known.expectedTiming;
			const heartbeat = periodMilliseconds + checkMilliseconds;
			const silentBefore = now - known.heardAt - counted;
			if (silentBefore <= heartbeat) {
				known.heardAt = Math.min(now, Math.max(now - milliseconds - silentBefore, now - timeoutMilliseconds + heartbeat));
			} else {
				known.heardAt -= milliseconds - counted;
			}
		}
	}

	/**
	 * What others had asked for before has to be asked for again: they have begun it elsewhere, or were lost without being
	 * missed here.
	 */
	#handleStall(milliseconds: number): void {
		this.#epochs.recordPause();
		this.#stall.fire(`stood still for ${Math.round(milliseconds)} ms`);
		for (const id of this.#members.keys()) {
			this.#loseMember.fire(id);
		}
	}

	#reportLoss(lost: MemberId): void {
		const {zone} = this.parts.network.self;
		for (const {member} of this.#members.values()) {
			if (member.zone === zone) {
				this.#outbox.put(member, {kind: 'lost', member: lost});
			}
		}
	}

	#dropUnresponsive(): void {
		const now = this.parts.clock.now();
		for (const {member, heardAt, expectedTiming, timingChangedAt, isMonitored} of this.#members.values()) {
			// One that has just become close had no reason to be heard more often before.
			const silence = now - (expectedTiming === heartbeats.idle ? heardAt : Math.max(heardAt, timingChangedAt));
			if (silence > expectedTiming.timeoutMilliseconds) {
				this.#drop(member.id, `silent for ${Math.round(silence)} ms`);
				if (isMonitored) {
					this.#reportLoss(member.id);
				}
			}
		}
	}

	#drop(id: MemberId, cause: string): void {
		if (this.#members.delete(id)) {
			this.#epochs.recordLoss(id);
			this.#connections.noteLoss();
			this.parts.journal.record('poolMemberLost', {member: id, cause});
			this.#loseMember.fire(id);
		}
	}
}
