/** The membership from the instance list, the peer connections and farewells. */
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
/** A member that was not heard of for so long is silent: two pings and a redial went unanswered. */
const silenceMilliseconds = 2000;
/**
 * A silent member is given up when the list hasn't named it for so long. A member that acts in another's place must have
 * seen itself on the list more recently than this, so that it never does so after it was given up.
 */
const delistedMilliseconds = 5000;
/** Peers of the own zone that are pinged; this bounds the traffic of an entry. */
const watchedInZone = 8;
/** Beyond this an entry that doesn't hear of a member most likely isn't connected to it. */
const lastHeardLimitMilliseconds = 20_000;

const messageSchema = z.object({kind: z.literal('left')});

/**
 * Members are met through their handshakes and lost by proof: a refused connection, a newer life at the address, a
 * farewell, or silence together with the list's word that they're gone. Silence alone proves nothing.
 */
export class InstanceListMembership extends Membership implements Disposable {
	readonly #members = new Map<MemberId, Member>();
	readonly #metAt = new Map<MemberId, number>();
	readonly #delistedAt = new Map<MemberId, number>();
	readonly #refusedAddresses = new Set<string>();
	readonly #left = new Set<MemberId>();
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
		this.#store.add(network.onDidMeet(member => {
			this.#addMember(member);
		}));
		this.#store.add(network.onDidProveDead(id => {
			this.#removeMember(id, 'dead');
		}));
		this.#store.add(network.onDidRefuse(address => {
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
		const met = new Set(this.peers.map(member => member.peerAddress));
		return this.#listed.some(({peerAddress, zone: listedZone, id}) => listedZone === zone
			&& id !== this.self.instance
			&& peerAddress !== undefined
			&& !met.has(peerAddress)
			&& !this.#refusedAddresses.has(peerAddress));
	}

	override isUnresponsive(member: MemberId): boolean {
		// Only the own zone is pinged; of others only their silence to a message tells anything.
		if (this.#members.get(member)?.zone !== this.self.zone) {
			const unansweredSince = this.network.unansweredSince(member);
			return unansweredSince !== undefined && this.clock.now() - unansweredSince > silenceMilliseconds;
		}

		const heardAt = this.network.lastHeard(member) ?? this.#metAt.get(member);
		return heardAt === undefined || this.clock.now() - heardAt > silenceMilliseconds;
	}

	override millisecondsSinceHeard(member: MemberId): number | undefined {
		const heardAt = this.network.lastHeard(member);
		const ago = heardAt === undefined ? undefined : this.clock.now() - heardAt;
		return ago !== undefined && ago < lastHeardLimitMilliseconds ? ago : undefined;
	}

	override isRoundTripOverdue(member: MemberId): boolean {
		const reachedAt = this.network.lastReached(member) ?? this.#metAt.get(member);
		return reachedAt === undefined || this.clock.now() - reachedAt >= silenceMilliseconds;
	}

	override lastRoundTripAt(member: MemberId): number | undefined {
		return this.network.lastReached(member);
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
		if (this.#left.has(member.id)) {
			return;
		}

		this.#members.set(member.id, member);
		this.#metAt.set(member.id, this.clock.now());
		this.#refusedAddresses.delete(member.peerAddress);
		this.journal.record('memberMet', {member: member.id, zone: member.zone});
		this.#updateWatched();
		this.#join.fire(member);
	}

	#removeMember(id: MemberId, manner: MemberLoss['manner']): void {
		const member = this.#members.get(id);
		if (member === undefined) {
			return;
		}

		this.#members.delete(id);
		this.#delistedAt.delete(id);
		this.#left.add(id);
		this.journal.record(manner === 'left' ? 'memberLeft' : 'memberDead', {member: id, zone: member.zone});
		this.#updateWatched();
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
		this.network.meet(addresses);
		this.#updateWatched();
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
			const heardAt = this.network.lastHeard(member.id) ?? this.#metAt.get(member.id) ?? 0;
			if (now - Math.max(heardAt, delistedAt) > delistedMilliseconds) {
				this.#removeMember(member.id, 'dead');
			}
		}
	}

	/** Watches neighbours of the own zone, a bounded number in any fleet; connections to other zones live by their use. */
	#updateWatched(): void {
		const inZone = this.peers.filter(member => member.zone === this.self.zone);
		const watched = rankByKey(this.self.instance, inZone, member => member.instance).slice(0, watchedInZone);
		this.network.watch(new Set(watched.map(member => member.peerAddress)));
	}
}
