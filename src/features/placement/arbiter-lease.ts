/** Lease on the arbiter role, and its renewal. */
import type {Clock} from '../../base/clock.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {ElectionMessage} from './election-message.js';
import {zonePeersOf} from './zone-peers-of.js';

/** Changes are announced immediately; the periodic announcement makes up for lost messages. */
const announcementPeriodMilliseconds = 5000;
/** Interval between announcements to other zones while no peer of the own zone answers. */
const witnessQueryPeriodMilliseconds = 400;
/** Validity of the lease, counted from the sending of the latest ping or announcement that a peer answered. */
const leaseMilliseconds = 1600;

/** Renewed by an answer from any peer: to pings within the zone, to announcements from other zones. */
export class ArbiterLease {
	#acknowledgedAt = Number.NEGATIVE_INFINITY;
	#announcedAt = Number.NEGATIVE_INFINITY;
	#queriedWitnessesAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly send: (to: Member, message: ElectionMessage) => void,
	) {}

	/** Whether it's certain that no other entry has taken over the role. */
	get isValid(): boolean {
		return !this.#hasCompetitors() || this.clock.now() - this.#answeredSendTime() < leaseMilliseconds;
	}

	/** Discards acknowledgements received during an earlier term. */
	reset(): void {
		this.#acknowledgedAt = Number.NEGATIVE_INFINITY;
	}

	/** Announces this entry as arbiter to all peers of its zone. */
	announce(epoch: number): void {
		this.#sendAnnouncement(epoch, zonePeersOf(this.membership));
	}

	/** Records the acknowledgement by another zone of the announcement sent at `stamp`. */
	recordAcknowledgement(stamp: number): void {
		this.#acknowledgedAt = Math.max(this.#acknowledgedAt, stamp);
	}

	/** Repeats the announcement periodically, and contacts other zones once half of the lease has passed. */
	renew(epoch: number): void {
		const now = this.clock.now();
		if (now - this.#announcedAt >= announcementPeriodMilliseconds) {
			this.#announcedAt = now;
			this.announce(epoch);
		}

		if (this.#hasCompetitors() && now - this.#answeredSendTime() > leaseMilliseconds / 2 && now - this.#queriedWitnessesAt >= witnessQueryPeriodMilliseconds) {
			this.#queriedWitnessesAt = now;
			this.#sendAnnouncement(epoch, this.#witnesses());
		}
	}

	/** Whether the zone has, or may have, another entry that could take over the role. */
	#hasCompetitors(): boolean {
		return zonePeersOf(this.membership).length > 0 || this.membership.hasUnresolvedInstances(this.membership.self.zone);
	}

	/** Send time of the latest message that a peer answered. */
	#answeredSendTime(): number {
		const inZone = zonePeersOf(this.membership).map(member => this.membership.lastRoundTripAt(member.id) ?? Number.NEGATIVE_INFINITY);
		return Math.max(this.#acknowledgedAt, ...inZone);
	}

	/** One entry from each other zone. */
	#witnesses(): readonly Member[] {
		const {self} = this.membership;
		const zones = new Set(this.membership.peers.map(member => member.zone));
		zones.delete(self.zone);
		return [...zones].flatMap(zone => rankByKey(self.instance, this.membership.membersInZone(zone), member => member.instance).slice(0, 1));
	}

	#sendAnnouncement(epoch: number, members: readonly Member[]): void {
		const {self} = this.membership;
		for (const member of members) {
			this.send(member, {
				kind: 'holds', zone: self.zone, holder: self.id, epoch, stamp: this.clock.now(),
			});
		}
	}
}
