/** The entries that share the capacity of their targets. */
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import type {Member} from '../../runtime/peers/member.js';
import {decodeFrame} from './decode-frame.js';
import type {EntryState} from './entry-state.js';
import {Epochs} from './epochs.js';
import {heartbeats} from './heartbeats.js';
import type {PeerEndpoint} from './peer-endpoint.js';
import type {PeerDescriptor} from './peer-descriptor.js';
import {PeerContacts} from './peer-contacts.js';
import {PeerDescriptors} from './peer-descriptors.js';
import {Outbox} from './outbox.js';
import {PoolConnections} from './pool-connections.js';
import type {PoolFrame} from './pool-frame.js';
import type {PoolMember} from './pool-member.js';
import type {PoolMessage} from './pool-message.js';
import type {PoolParts} from './pool-parts.js';
import {ReadingDelay} from './reading-delay.js';
import {recordPause} from './record-pause.js';
import {StateBroadcaster} from './state-broadcaster.js';

/**
 * `isCurrent` is false for a message of a previous epoch: its sender has been lost here since, or this entry has stalled. `sentAt` is an
 * estimate by this entry's monotonic clock.
 */
type ReceivedPoolMessage = {readonly from: Member; readonly message: PoolMessage; readonly isCurrent: boolean; readonly sentAt: number};

const channel = 'pool';
/** Interval of the checks for due heartbeats and timed-out peers. */
const checkMilliseconds = 100;
/** The silence that is stated for a peer without any message; above all timeouts. */
const longestSilenceMilliseconds = 60_000;

/** Exchanges state with all peers and detects their loss. */
export class Pool implements Disposable {
	readonly #members = new Map<MemberId, PoolMember>();
	/** Every incarnation discovered so far: one that is considered lost may still receive messages, such as requests to stop a run. */
	readonly #discovered = new Map<MemberId, Member>();
	readonly #descriptors = new PeerDescriptors();
	readonly #store = new DisposableStore();
	readonly #epochs = new Epochs();
	readonly #readingDelay: ReadingDelay;
	readonly #contacts: PeerContacts;
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
		const {network, ownState, largestFreeCpuMillis, backlogFor, peersInUse, clock} = parts;
		const members = () => this.#members.values();
		this.#readingDelay = this.#store.add(new ReadingDelay(clock));
		this.#contacts = new PeerContacts(clock, this.#readingDelay);
		this.#outbox = new Outbox({
			network, channel, epochs: this.#epochs, contacts: this.#contacts, clock,
		});
		this.#broadcaster = this.#store.add(new StateBroadcaster({
			members, ownState, mesh: () => this.#connections.mesh, largestFreeCpuMillis, backlogFor, outbox: this.#outbox, clock,
		}));
		this.#connections = new PoolConnections({
			network,
			members,
			peersInUse,
			sendState: member => {
				this.#broadcaster.sendTo(member);
			},
			clock,
		});
		this.#store.add(parts.pauses.onDidSkipTime(milliseconds => {
			this.#recordSkippedTime(milliseconds);
			this.#readingDelay.recordSkippedTime(milliseconds);
		}));
		this.#store.add(parts.pauses.onDidExplainSkippedTime(milliseconds => {
			this.#contacts.explainSkippedTime(milliseconds);
		}));
		this.#store.add(parts.pauses.onDidFindHiddenSuspension(milliseconds => {
			this.#recordSkippedTime(milliseconds);
			this.#contacts.explainSkippedTime(milliseconds);
		}));
		this.#store.add(parts.pauses.onDidPause(pause => {
			recordPause(members(), pause, clock.now(), checkMilliseconds);
		}));
		this.#store.add(parts.pauses.onDidConfirmPause(milliseconds => {
			this.#handleStall(milliseconds);
		}));
		this.#store.add(this.#contacts.onDidFindClockGap(gap => {
			parts.pauses.reportClockGap(gap);
		}));
		this.#store.add(network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from, message.body);
			}
		}));
		this.#store.add(network.onDidDiscover(member => {
			this.#addMember(member);
		}));
		this.#store.add(network.onDidReconnect(member => {
			this.#reconnect.fire(member.id);
		}));
		this.#store.add(network.onDidConfirmDeath(id => {
			this.#drop(id, 'its port refuses connections or a newer incarnation answers there');
		}));
	}

	/** Fires for each message from a peer except `entries`. */
	get onDidReceive() {
		return this.#message.event;
	}

	/** Fires when a peer is gone or has timed out, and for every peer when this entry itself has stalled. */
	get onDidLoseMember() {
		return this.#loseMember.event;
	}

	/** Fires with the cause when this entry has stalled for so long that its peers may have taken over its work. */
	get onDidStall() {
		return this.#stall.event;
	}

	/** Fires when a peer has declared this entry lost without this entry having noticed. */
	get onDidDetectEviction() {
		return this.#detectEviction.event;
	}

	/** Fires when a connection has been re-established; messages on the previous one may be lost. */
	get onDidReconnect() {
		return this.#reconnect.event;
	}

	/** Fires after a peer has published its free capacity. */
	get onDidChangeCapacity() {
		return this.#changeCapacity.event;
	}

	get self(): MemberId {
		return this.parts.network.self.id;
	}

	/** All live peers. */
	get members(): Iterable<PoolMember> {
		return this.#members.values();
	}

	/** Whether the last heartbeat of a member is recent enough to send it new tasks. */
	isFresh({heardAt, expectedTiming}: PoolMember): boolean {
		return this.parts.clock.now() - heardAt <= expectedTiming.staleAfterMilliseconds;
	}

	/** The same by id; false for an entry that isn't a live peer. */
	isFreshMember(id: MemberId): boolean {
		const known = this.#members.get(id);
		return known !== undefined && this.isFresh(known);
	}

	/** Whether the last message from a peer is recent by the timing of active heartbeats. */
	isResponsive(id: MemberId): boolean {
		const known = this.#members.get(id);
		return known !== undefined && this.parts.clock.now() - known.heardAt <= heartbeats.active.staleAfterMilliseconds;
	}

	/**
	 * The latest time, by this entry's monotonic clock, from which an entry is taken to have read all input: before it sent its latest
	 * message, by the delay that it stated, or when another entry last heard it. The entry may have read less, because the delay counts
	 * only as far as the runs of a live requester go on: in full up to about 230 ms, and less if this entry is slow as well.
	 */
	lastContact(id: MemberId): number {
		if (id === this.self) {
			return this.parts.clock.now() - this.#contacts.readingDelayMilliseconds;
		}

		return Math.max(this.#contacts.lastContact(id) ?? Number.NEGATIVE_INFINITY, this.#descriptors.heardAt(id));
	}

	/**
	 * The latest time at which an entry was known to be alive, by the entries that handed over its runs. For this entry itself it's the
	 * last contact, since it learns of an adoption at once.
	 */
	contactAtHandover(id: MemberId): number {
		return id === this.self ? this.lastContact(id) : this.#descriptors.heardAt(id);
	}

	/** How long ago a caller may have disconnected whose disconnect this entry reads now. */
	get unreadMilliseconds(): number {
		this.parts.pauses.check();
		return this.#readingDelay.unreadMilliseconds;
	}

	/**
	 * How late a live peer reads its input, in milliseconds, as it stated last; 0 for any other, and for one whose next heartbeat is later
	 * than that explains.
	 */
	readingDelay(id: MemberId): number {
		const known = this.#members.get(id);
		const delay = this.#contacts.statedReadingDelay(id) ?? 0;
		const isLive = known !== undefined && this.parts.clock.now() - known.heardAt <= known.expectedTiming.staleAfterMilliseconds + (2 * delay);
		return isLive ? delay : 0;
	}

	start(): void {
		this.#readingDelay.start();
		this.#store.add(repeat(this.parts.clock, checkMilliseconds, () => {
			this.parts.pauses.check();
			this.#connections.update();
			this.#dropUnresponsive();
			this.#broadcaster.sendHeartbeats(checkMilliseconds / 2);
		}));
	}

	/** Adds peers, and connects to those that become neighbours. */
	addPeers(endpoints: Iterable<PeerEndpoint>): void {
		this.#connections.add(endpoints);
	}

	/** A peer that was discovered, even if it is considered lost; undefined for any other. */
	discovered(id: MemberId): Member | undefined {
		return this.#discovered.get(id);
	}

	/** Sends a message to a peer that was discovered, even if it is considered lost; ignored for any other. */
	send(to: MemberId, message: PoolMessage): void {
		const member = this.#discovered.get(to);
		if (member === undefined) {
			return;
		}

		this.#outbox.put(member, message);
		const known = this.#members.get(to);
		if (message.kind === 'report' && known !== undefined) {
			this.#broadcaster.piggyback(known);
		}
	}

	/** Returns descriptors of the given entries, for peers that may never have been connected to them; unknown ones are left out. */
	describePeers(ids: Iterable<MemberId>): readonly PeerDescriptor[] {
		const {network, clock} = this.parts;
		return [...ids].flatMap(id => {
			const member = id === this.self ? network.self : this.#discovered.get(id);
			// Not the time of reading: a message may have waited, and the new owner would keep the runs of a dead requester. Without the
			// requester's delay of reading: the silence limits the time to acknowledge the new owner, in which a slow requester is late.
			const silentMilliseconds = Math.round(Math.min(clock.now() - this.#lastAlive(id), longestSilenceMilliseconds));
			return member === undefined ? [] : [{member, silentMilliseconds}];
		});
	}

	/** Milliseconds for which a peer had been silent when it was last described to this entry; 0 if it never was. */
	reportedSilence(id: MemberId): number {
		return this.#descriptors.get(id)?.silentMilliseconds ?? 0;
	}

	/**
	 * Whether a peer is a live member. A peer that is only known from a descriptor becomes a member, and then has to send heartbeats
	 * like any other; one that was discovered before and lost doesn't.
	 */
	ensureMember(id: MemberId): boolean {
		const descriptor = this.#descriptors.get(id);
		if (descriptor !== undefined && !this.#discovered.has(id)) {
			this.#addMember(descriptor.member);
		}

		return this.#members.has(id);
	}

	/** Sends a message to all live peers. */
	broadcast(message: PoolMessage): void {
		for (const {member} of this.#members.values()) {
			this.#outbox.put(member, message);
		}
	}

	/** Sends a changed state to all peers after a short delay. */
	broadcastState(): void {
		this.#broadcaster.broadcast();
	}

	/** Sends one peer this entry's state now. */
	sendState(id: MemberId): void {
		const known = this.#members.get(id);
		if (known !== undefined) {
			this.#broadcaster.sendTo(known);
		}
	}

	/** Announces to active and monitored peers that tasks wait here. */
	announceDemand(): void {
		this.#broadcaster.announceDemand();
	}

	/** Announces changed capacity if any peer waits for it. */
	announceCapacity(): void {
		this.#broadcaster.announceCapacity();
	}

	dispose(): void {
		this.#store.dispose();
	}

	/** Makes all contacts older by time that this entry's clock may not have counted. */
	#recordSkippedTime(milliseconds: number): void {
		this.#contacts.recordSkippedTime(milliseconds);
		this.#descriptors.recordSkippedTime(milliseconds);
	}

	/** The same as the last contact, but without the delay of reading. */
	#lastAlive(id: MemberId): number {
		return id === this.self ? this.parts.clock.now() : Math.max(this.#contacts.lastAlive(id) ?? Number.NEGATIVE_INFINITY, this.#descriptors.heardAt(id));
	}

	#addMember(member: Member): void {
		const {clock, journal} = this.parts;
		const now = clock.now();
		const known: PoolMember = {
			member,
			heardAt: now,
			sendTiming: heartbeats.active,
			expectedTiming: heartbeats.active,
			timingChangedAt: now,
			isMonitor: false,
			isMonitored: false,
			mesh: undefined,
			capacityUpdates: 0,
			isLeaving: false,
			routingVersion: 0,
			demand: [],
			freeCapacity: [],
		};
		this.#discovered.set(member.id, member);
		this.#members.set(member.id, known);
		this.addPeers([{address: member.peerAddress, zone: member.zone}]);
		journal.record('poolMemberMet', {member: member.id, zone: member.zone});
		this.#outbox.put(member, {kind: 'entries', entries: this.#connections.known});
		this.#broadcaster.sendTo(known);
	}

	#receive(from: Member, body: unknown): void {
		this.parts.pauses.check();
		const frame = this.#decode(from, body);
		if (frame === undefined) {
			return;
		}

		if (!this.#members.has(from.id)) {
			this.#addMember(from);
		}

		const now = this.parts.clock.now();
		this.#members.get(from.id)!.heardAt = now;
		const sentAt = this.#contacts.record(from.id, frame.sentAt ?? now, frame.skippedMilliseconds, frame.readingDelayMilliseconds);
		// Must precede the messages: they may report runs that were stopped because of the loss, which this entry would restart.
		if (this.#epochs.observe(from.id, frame)) {
			this.#detectEviction.fire();
		}

		const isCurrent = this.#epochs.isCurrent(from.id, frame);
		for (const message of frame.messages) {
			this.#handle({
				from, message, isCurrent, sentAt,
			});
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

	#handle(received: ReceivedPoolMessage): void {
		const {from, message, isCurrent} = received;
		if (message.kind === 'entries') {
			this.addPeers(message.entries);
			return;
		}

		for (const requester of message.kind === 'handover' ? message.requesters : []) {
			this.#descriptors.add(requester, this.lastContact(from.id));
		}

		if (message.kind === 'adopted') {
			// The new owner may have received fewer heartbeats from this entry than the previous one.
			this.sendState(from.id);
		}

		if (message.kind === 'state') {
			this.#handleState(this.#members.get(from.id), message, isCurrent);
		}

		if (message.kind === 'lost') {
			this.#handleReportedLoss(message.member);
		}

		this.#message.fire(received);
	}

	/** The member is undefined if a listener for an earlier message of the batch has removed it. */
	#handleState(known: PoolMember | undefined, {state, isForMonitor, mesh}: Extract<PoolMessage, {kind: 'state'}>, isCurrent: boolean): void {
		if (known === undefined) {
			return;
		}

		const hasNewDemand = known.demand.length === 0 && state.demand.length > 0;
		// A request for capacity that was published in a previous epoch would be refused.
		Object.assign(known, state, {
			isMonitored: isForMonitor, mesh, capacityUpdates: 0, freeCapacity: isCurrent ? state.freeCapacity : [],
		});
		this.#broadcaster.recordReceived(known);
		this.#changeCapacity.fire();
		if (hasNewDemand) {
			// The peer may not know of capacity that became free after the last heartbeat.
			this.announceCapacity();
		}
	}

	/** Drops a peer that its monitor reports as lost, unless the peer is in use or has sent this entry a message more recently. */
	#handleReportedLoss(id: MemberId): void {
		const known = this.#members.get(id);
		if (known?.expectedTiming === heartbeats.idle && this.parts.clock.now() - known.heardAt > heartbeats.monitored.periodMilliseconds) {
			this.#drop(id, 'reported lost by a monitoring peer');
		}
	}

	/** Invalidates all earlier requests of the peers, which may have restarted the work elsewhere or may be gone. */
	#handleStall(milliseconds: number): void {
		this.#epochs.recordPause();
		this.#stall.fire(`stalled for ${Math.round(milliseconds)} ms`);
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
			// A peer that has just become active was not expected to send frequent heartbeats before.
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
			this.#connections.invalidate();
			this.parts.journal.record('poolMemberLost', {member: id, cause});
			this.#loseMember.fire(id);
		}
	}
}
