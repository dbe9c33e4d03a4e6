/** Asks the arbiters of all zones for slots, over the peer network. */
import {match} from 'ts-pattern';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetAddress} from '../../runtime/targets/target-address.js';
import type {MemberLoss} from '../membership/member-loss.js';
import type {Membership} from '../membership/membership.js';
import {ArbiterSession} from './arbiter-session.js';
import type {ArbiterTransport} from './arbiter-transport.js';
import type {Holder} from './holder.js';
import type {JobRefusal} from './job-refusal.js';
import type {PlacementReply} from './placement-reply.js';
import type {PlacementRequest} from './placement-request.js';
import {SlotClient} from './slot-client.js';
import type {SlotListener} from './slot-listener.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 100;
/**
 * A grant whose echo of this entry's clock is older than this isn't used: the entry was paused since, or the grant was
 * held up, and the arbiter may have lent the slot to somebody else.
 */
const grantFreshnessMilliseconds = 1000;
/** A wish for another zone is given up when that zone's arbiter isn't found in this time. */
const foreignSearchMilliseconds = 1000;
/** The own zone is given more: a new arbiter may have to wait until the former one's lease has ended. */
const ownSearchMilliseconds = 6000;

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/** Keeps every wish until it's granted, refused or withdrawn. */
export class NetworkSlotClient extends SlotClient {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #links = new Map<AvailabilityZone, ArbiterSession>();
	readonly #linkOf = new Map<TicketId, ArbiterSession>();

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly journal: Journal,
		private readonly post: ArbiterTransport,
	) {
		super();
	}

	/** Slots that this entry holds now. */
	get heldSlots(): number {
		return [...this.#links.values()].reduce((sum, link) => sum + link.held.size, 0);
	}

	override requestSlots(zone: AvailabilityZone, want: Want, deadlineAt: number, listener: SlotListener): void {
		const link = this.#linkTo(zone);
		const now = this.clock.now();
		for (const task of want.tasks) {
			link.wishes.set(task.ticket, {
				want, task, deadlineAt, askedAt: now, listener,
			});
			this.#linkOf.set(task.ticket, link);
		}

		link.ask({...want, remainingMilliseconds: deadlineAt - now});
	}

	override release(ticket: TicketId, outcome: Extract<PlacementRequest, {kind: 'release'}>['outcome'], runMilliseconds: number): void {
		const link = this.#linkOf.get(ticket);
		if (link === undefined) {
			return;
		}

		link.held.delete(ticket);
		this.#linkOf.delete(ticket);
		link.tell({
			kind: 'release', ticket, outcome, runMilliseconds,
		});
	}

	override withdraw(tickets: readonly TicketId[]): void {
		const byLink = new Map<ArbiterSession, TicketId[]>();
		for (const ticket of tickets) {
			const link = this.#linkOf.get(ticket);
			if (link?.wishes.delete(ticket)) {
				this.#linkOf.delete(ticket);
				byLink.set(link, [...byLink.get(link) ?? [], ticket]);
			}
		}

		for (const [link, list] of byLink) {
			link.tell({kind: 'withdraw', tickets: list});
		}
	}

	tick(): void {
		for (const link of this.#links.values()) {
			this.#giveUpLate(link);
			link.tick();
		}
	}

	/** Takes note of a zone's arbiter; a new one is told of all wishes and slots. */
	setArbiter(zone: AvailabilityZone, holder: Holder | undefined): void {
		this.#linkTo(zone).setArbiter(holder?.member);
	}

	memberReconnected(member: MemberId): void {
		for (const link of this.#links.values()) {
			link.memberReconnected(member);
		}
	}

	memberLost({member}: MemberLoss): void {
		for (const link of this.#links.values()) {
			link.memberLost(member.id);
		}
	}

	receive(from: MemberId, reply: PlacementReply): void {
		match(reply)
			.with({kind: 'granted'}, ({echo, grants}) => {
				for (const grant of grants) {
					this.#granted(from, echo, grant.ticket, grant.target);
				}
			})
			.with({kind: 'refused'}, ({tickets, cause, detail, retryAfterMilliseconds}) => {
				for (const ticket of tickets) {
					this.#refused(ticket, {cause, detail, retryAfterMilliseconds});
				}
			})
			.with({kind: 'recount'}, ({zone}) => {
				this.#linkTo(zone).sendInventory(from);
			})
			.with({kind: 'unknown'}, ({tickets}) => {
				this.#wantAgain(from, tickets);
			})
			.with({kind: 'elsewhere'}, ({zone}) => {
				this.#linkTo(zone).resigned(from);
			})
			.exhaustive();
	}

	#granted(from: MemberId, echo: number, ticket: TicketId, target: TargetAddress): void {
		const link = this.#linkOf.get(ticket);
		const wish = link?.wishes.get(ticket);
		if (link === undefined || wish === undefined) {
			this.#giveBack(from, ticket);
			return;
		}

		if (this.clock.now() - echo > grantFreshnessMilliseconds || from !== link.arbiter) {
			this.journal.record('staleGrantDropped', {ticket, arbiter: from});
			this.#giveBack(from, ticket);
			this.#wantAgain(from, [ticket]);
			return;
		}

		link.wishes.delete(ticket);
		link.held.set(ticket, {target, profile: wish.want.profile, endsAt: this.clock.now() + wish.want.limitMilliseconds});
		wish.listener.onDidGrant({ticket, target});
	}

	#giveBack(arbiter: MemberId, ticket: TicketId): void {
		this.post.request(arbiter, {
			kind: 'release', ticket, outcome: 'unused', runMilliseconds: 0,
		});
	}

	#refused(ticket: TicketId, refusal: JobRefusal): void {
		const link = this.#linkOf.get(ticket);
		const wish = link?.wishes.get(ticket);
		if (link === undefined || wish === undefined) {
			return;
		}

		link.wishes.delete(ticket);
		this.#linkOf.delete(ticket);
		wish.listener.onDidRefuse(ticket, refusal);
	}

	/** Sends wishes again that the arbiter lacks; they were admitted before, or ask to be. */
	#wantAgain(arbiter: MemberId, tickets: readonly TicketId[]): void {
		for (const ticket of tickets) {
			const wish = this.#linkOf.get(ticket)?.wishes.get(ticket);
			if (wish !== undefined) {
				const remainingMilliseconds = wish.deadlineAt - this.clock.now();
				this.post.request(arbiter, {
					...wish.want, isAdmitted: true, remainingMilliseconds, tasks: [wish.task],
				});
			}
		}
	}

	#giveUpLate(link: ArbiterSession): void {
		const now = this.clock.now();
		const isOwn = link.zone === this.membership.self.zone;
		const searchLimit = isOwn ? ownSearchMilliseconds : foreignSearchMilliseconds;
		for (const [ticket, wish] of link.wishes) {
			if (now >= wish.deadlineAt) {
				this.#giveUp(link, ticket, {cause: 'deadlineUnreachable', detail: 'the deadline passed while the task waited for a slot', retryAfterMilliseconds: 1000});
			} else if (link.arbiter === undefined && now - wish.askedAt > searchLimit) {
				this.#giveUp(link, ticket, {cause: 'noTarget', detail: `nobody lends the slots of zone ${link.zone}`, retryAfterMilliseconds: 1000});
			}
		}
	}

	#giveUp(link: ArbiterSession, ticket: TicketId, refusal: JobRefusal): void {
		link.tell({kind: 'withdraw', tickets: [ticket]});
		this.#refused(ticket, refusal);
	}

	#linkTo(zone: AvailabilityZone): ArbiterSession {
		const known = this.#links.get(zone);
		if (known !== undefined) {
			return known;
		}

		const link = new ArbiterSession(zone, this.membership, this.clock, this.post);
		this.#links.set(zone, link);
		return link;
	}
}
