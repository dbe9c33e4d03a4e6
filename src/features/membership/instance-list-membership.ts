/** Derives the membership from the instance list, peer connections and leave messages. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {InstanceList} from '../../runtime/instances/instance-list.js';
import type {InstanceSnapshot} from '../../runtime/instances/instance-snapshot.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {MemberLoss} from './member-loss.js';
import {Membership} from './membership.js';

const channel = 'membership';
/** A member is unresponsive after this time, which covers two unanswered pings and a redial. */
const unresponsiveMilliseconds = 2000;
/**
 * A silent member that has been missing from the list for this time is considered dead. A member may act for another one only if it
 * has seen itself on the list more recently, so that it never does so after it has been declared dead.
 */
const delistedMilliseconds = 5000;
/** Number of peers in the own zone that are pinged, which bounds the traffic of an entry. */
const monitoredInZone = 8;
/** After a longer silence there is most likely no connection to the member, so that the silence says nothing about it. */
const lastHeardLimitMilliseconds = 20_000;

const messageSchema = z.object({kind: z.literal('left')});

/**
 * Members join through the handshake. They are lost through a refused connection, a newer incarnation at the same address, a leave
 * message, or silence while they are missing from the instance list. Silence alone is not sufficient.
 */
export class InstanceListMembership extends Membership implements Disposable {
	readonly #members = new Map<MemberId, Member>();
	readonly #metAt = new Map<MemberId, number>();
	readonly #delistedAt = new Map<MemberId, number>();
	readonly #refusedAddresses = new Set<string>();
	readonly #removed = new Set<MemberId>();
	readonly #store = new DisposableStore();
	readonly #join = this.#store.add(new Emitter<Member>());
	readonly #lose = this.#store.add(new Emitter<MemberLoss>());
	#listed: readonly Instance[] = [];
	#listedAt: number | undefined;

	constructor(
		private readonly network: PeerNetwork,
		private readonly list: InstanceList,
		private readonly clock: Clock,
		private readonly journal: Journal,
	) {
		super();
		this.#store.add(network.onDidDiscover(member => {
			this.#addMember(member);
		}));
		this.#store.add(network.onDidConfirmDeath(id => {
			this.#removeMember(id, 'dead');
		}));
		this.#store.add(network.onDidRefuseConnection(address => {
			this.#refusedAddresses.add(address);
		}));
		this.#store.add(network.onDidReceive(({from, message}) => {
			if (message.channel === channel && messageSchema.safeParse(message.body).success) {
				this.#removeMember(from.id, 'left');
			}
		}));
		this.#store.add(list.onDidRead(snapshot => {
			this.#handleSnapshot(snapshot);
		}));
	}

	override get self(): Member {
		return this.network.self;
	}

	override get peers(): readonly Member[] {
		return [...this.#members.values()];
	}

	override get onDidJoin() {
		return this.#join.event;
	}

	override get onDidLose() {
		return this.#lose.event;
	}

	override get lastListedAt(): number | undefined {
		return this.#listedAt;
	}

	override membersInZone(zone: AvailabilityZone): readonly Member[] {
		const others = this.peers.filter(member => member.zone === zone);
		return this.self.zone === zone ? [this.self, ...others] : others;
	}

	override findMember(member: MemberId): Member | undefined {
		return member === this.self.id ? this.self : this.#members.get(member);
	}

	override hasUnresolvedInstances(zone: AvailabilityZone): boolean {
		const memberAddresses = new Set(this.peers.map(member => member.peerAddress));
		return this.#listed.some(({peerAddress, zone: listedZone, id}) => listedZone === zone
			&& id !== this.self.instance
			&& peerAddress !== undefined
			&& !memberAddresses.has(peerAddress)
			&& !this.#refusedAddresses.has(peerAddress));
	}

	override isUnresponsive(member: MemberId): boolean {
		// Only members of the own zone are pinged; others are unresponsive only if a message to them remains unanswered.
		if (this.#members.get(member)?.zone !== this.self.zone) {
			const unansweredSince = this.network.unansweredSince(member);
			return unansweredSince !== undefined && this.clock.now() - unansweredSince > unresponsiveMilliseconds;
		}

		const heardAt = this.network.lastReceivedAt(member) ?? this.#metAt.get(member);
		return heardAt === undefined || this.clock.now() - heardAt > unresponsiveMilliseconds;
	}

	override millisecondsSinceHeard(member: MemberId): number | undefined {
		const heardAt = this.network.lastReceivedAt(member);
		const ago = heardAt === undefined ? undefined : this.clock.now() - heardAt;
		return ago !== undefined && ago < lastHeardLimitMilliseconds ? ago : undefined;
	}

	override isRoundTripOverdue(member: MemberId): boolean {
		const reachedAt = this.network.lastAcknowledgedAt(member) ?? this.#metAt.get(member);
		return reachedAt === undefined || this.clock.now() - reachedAt >= unresponsiveMilliseconds;
	}

	override lastRoundTripAt(member: MemberId): number | undefined {
		return this.network.lastAcknowledgedAt(member);
	}

	override announceLeave(): void {
		for (const member of this.#members.values()) {
			this.network.send(member, {channel, body: {kind: 'left'}});
		}
	}

	dispose(): void {
		this.#store.dispose();
	}

	#addMember(member: Member): void {
		if (this.#removed.has(member.id)) {
			return;
		}

		this.#members.set(member.id, member);
		this.#metAt.set(member.id, this.clock.now());
		this.#refusedAddresses.delete(member.peerAddress);
		this.journal.record('memberMet', {member: member.id, zone: member.zone});
		this.#updateMonitored();
		this.#join.fire(member);
	}

	#removeMember(id: MemberId, manner: MemberLoss['manner']): void {
		const member = this.#members.get(id);
		if (member === undefined) {
			return;
		}

		this.#members.delete(id);
		this.#delistedAt.delete(id);
		this.#removed.add(id);
		this.journal.record(manner === 'left' ? 'memberLeft' : 'memberDead', {member: id, zone: member.zone});
		this.#updateMonitored();
		this.#lose.fire({member, manner});
		this.#metAt.delete(id);
	}

	#handleSnapshot(snapshot: InstanceSnapshot): void {
		this.#listed = snapshot.instances.filter(instance => instance.kind === 'entry');
		if (this.#listed.some(instance => instance.id === this.self.instance)) {
			this.#listedAt = snapshot.readAt;
		}

		const addresses = new Set(this.#listed.flatMap(({peerAddress}) => peerAddress ?? []));
		addresses.delete(this.self.peerAddress);
		this.network.discover(addresses);
		this.#updateMonitored();
		this.#removeDelisted(addresses);
	}

	#removeDelisted(addresses: ReadonlySet<string>): void {
		const now = this.clock.now();
		for (const member of this.peers) {
			if (addresses.has(member.peerAddress)) {
				this.#delistedAt.delete(member.id);
				continue;
			}

			const delistedAt = this.#delistedAt.get(member.id) ?? now;
			this.#delistedAt.set(member.id, delistedAt);
			const heardAt = this.network.lastReceivedAt(member.id) ?? this.#metAt.get(member.id) ?? 0;
			if (now - Math.max(heardAt, delistedAt) > delistedMilliseconds) {
				this.#removeMember(member.id, 'dead');
			}
		}
	}

	/** Keeps connections to a bounded number of members in the own zone; others are opened on demand. */
	#updateMonitored(): void {
		const inZone = this.peers.filter(member => member.zone === this.self.zone);
		const monitored = rankByKey(this.self.instance, inZone, member => member.instance).slice(0, monitoredInZone);
		this.network.monitor(new Set(monitored.map(member => member.peerAddress)));
	}
}
