/** How long the arbiter's office is held, and what its holder does to go on holding it. */
import type {Clock} from '../../base/clock.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {ElectionMessage} from './election-message.js';
import {zonePeersOf} from './zone-peers-of.js';

/** News are told at once; this only repairs a lost message. */
const announcementPeriodMilliseconds = 5000;
/** How often peers of other zones are asked for a sign of life when none of the own zone gives one. */
const witnessQueryPeriodMilliseconds = 400;
/** A holder grants for so long after the sending of a ping, or an announcement, that some peer answered. */
const leaseMilliseconds = 1600;

/** Any peer's answer renews it: within a zone pings tell who is there, and another zone answers announcements. */
export class ArbiterLease {
	#acknowledgedAt = Number.NEGATIVE_INFINITY;
	#announcedAt = Number.NEGATIVE_INFINITY;
	#queriedWitnessesAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly send: (to: Member, message: ElectionMessage) => void,
	) {}

	/** Whether no other entry can have taken the office. */
	get isValid(): boolean {
		return !this.#hasCompetitors() || this.clock.now() - this.#answeredSendTime() < leaseMilliseconds;
	}

	/** Forgets the answers to an earlier tenure. */
	reset(): void {
		this.#acknowledgedAt = Number.NEGATIVE_INFINITY;
	}

	/** Tells the zone who holds the office. */
	announce(epoch: number): void {
		this.#sendAnnouncement(epoch, zonePeersOf(this.membership));
	}

	/** A peer of another zone answered the announcement that was sent then. */
	recordAcknowledgement(stamp: number): void {
		this.#acknowledgedAt = Math.max(this.#acknowledgedAt, stamp);
	}

	/** Repeats the announcement now and then, and asks other zones when half of the lease is over. */
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

	/** Whether the zone has, or may have, another entry that could take the office. */
	#hasCompetitors(): boolean {
		return zonePeersOf(this.membership).length > 0 || this.membership.isUnresolved(this.membership.self.zone);
	}

	/** When the holder last sent something that a peer answered. */
	#answeredSendTime(): number {
		const inZone = zonePeersOf(this.membership).map(member => this.membership.reachedAt(member.id) ?? Number.NEGATIVE_INFINITY);
		return Math.max(this.#acknowledgedAt, ...inZone);
	}

	/** One entry of each other zone. */
	#witnesses(): readonly Member[] {
		const {self} = this.membership;
		const zones = new Set(this.membership.all.map(member => member.zone));
		zones.delete(self.zone);
		return [...zones].flatMap(zone => rankByKey(self.instance, this.membership.inZone(zone), member => member.instance).slice(0, 1));
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
