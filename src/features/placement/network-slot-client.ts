/** Requests slots from the arbiters of all zones over the peer network. */
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

/** Interval at which the owner calls `tick`. */
const tickMilliseconds = 100;
/**
 * Maximum age of a grant, measured by the echoed clock of this entry. An older grant was delayed, or this entry was paused since, and the
 * arbiter may have leased the slot to another entry.
 */
const maximumGrantAgeMilliseconds = 1000;
/** Time after which requests to another zone are refused if its arbiter isn't found. */
const otherZoneSearchMilliseconds = 1000;
/** Longer than for other zones, since a new arbiter may have to wait until the previous lease has expired. */
const ownZoneSearchMilliseconds = 6000;

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/** Keeps each request until it's granted, refused or withdrawn. */
export class NetworkSlotClient extends SlotClient {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #sessions = new Map<AvailabilityZone, ArbiterSession>();
	readonly #sessionByTicket = new Map<TicketId, ArbiterSession>();

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly journal: Journal,
		private readonly transport: ArbiterTransport,
	) {
		super();
	}

	/** Number of slots that this entry holds. */
	get heldSlots(): number {
		return [...this.#sessions.values()].reduce((sum, session) => sum + session.heldSlots.size, 0);
	}

	override requestSlots(zone: AvailabilityZone, want: Want, deadlineAt: number, listener: SlotListener): void {
		const session = this.#sessionFor(zone);
		const now = this.clock.now();
		for (const task of want.tasks) {
			session.pendingRequests.set(task.ticket, {
				request: want, task, deadlineAt, requestedAt: now, listener,
			});
			this.#sessionByTicket.set(task.ticket, session);
		}

		session.sendOrSearch({...want, remainingMilliseconds: deadlineAt - now});
	}

	override release(ticket: TicketId, outcome: Extract<PlacementRequest, {kind: 'release'}>['outcome'], runMilliseconds: number): void {
		const session = this.#sessionByTicket.get(ticket);
		if (session === undefined) {
			return;
		}

		session.heldSlots.delete(ticket);
		this.#sessionByTicket.delete(ticket);
		session.sendIfKnown({
			kind: 'release', ticket, outcome, runMilliseconds,
		});
	}

	override withdraw(tickets: readonly TicketId[]): void {
		const bySession = new Map<ArbiterSession, TicketId[]>();
		for (const ticket of tickets) {
			const session = this.#sessionByTicket.get(ticket);
			if (session?.pendingRequests.delete(ticket)) {
				this.#sessionByTicket.delete(ticket);
				bySession.set(session, [...bySession.get(session) ?? [], ticket]);
			}
		}

		for (const [session, list] of bySession) {
			session.sendIfKnown({kind: 'withdraw', tickets: list});
		}
	}

	tick(): void {
		for (const session of this.#sessions.values()) {
			this.#refuseExpired(session);
			session.tick();
		}
	}

	/** Sets the arbiter of a zone; a new arbiter is sent all pending requests and held slots. */
	setArbiter(zone: AvailabilityZone, holder: Holder | undefined): void {
		this.#sessionFor(zone).setArbiter(holder?.member);
	}

	memberReconnected(member: MemberId): void {
		for (const session of this.#sessions.values()) {
			session.memberReconnected(member);
		}
	}

	memberLost({member}: MemberLoss): void {
		for (const session of this.#sessions.values()) {
			session.memberLost(member.id);
		}
	}

	receive(from: MemberId, reply: PlacementReply): void {
		match(reply)
			.with({kind: 'granted'}, ({echo, grants}) => {
				for (const grant of grants) {
					this.#receiveGrant(from, echo, grant.ticket, grant.target);
				}
			})
			.with({kind: 'refused'}, ({tickets, cause, detail, retryAfterMilliseconds}) => {
				for (const ticket of tickets) {
					this.#receiveRefusal(ticket, {cause, detail, retryAfterMilliseconds});
				}
			})
			.with({kind: 'recount'}, ({zone}) => {
				this.#sessionFor(zone).sendInventory(from);
			})
			.with({kind: 'unknown'}, ({tickets}) => {
				this.#resendRequests(from, tickets);
			})
			.with({kind: 'elsewhere'}, ({zone}) => {
				this.#sessionFor(zone).arbiterResigned(from);
			})
			.exhaustive();
	}

	#receiveGrant(from: MemberId, echo: number, ticket: TicketId, target: TargetAddress): void {
		const session = this.#sessionByTicket.get(ticket);
		const pending = session?.pendingRequests.get(ticket);
		if (session === undefined || pending === undefined) {
			this.#returnSlot(from, ticket);
			return;
		}

		if (this.clock.now() - echo > maximumGrantAgeMilliseconds || from !== session.arbiter) {
			this.journal.record('staleGrantDropped', {ticket, arbiter: from});
			this.#returnSlot(from, ticket);
			this.#resendRequests(from, [ticket]);
			return;
		}

		session.pendingRequests.delete(ticket);
		session.heldSlots.set(ticket, {target, profile: pending.request.profile, endsAt: this.clock.now() + pending.request.limitMilliseconds});
		pending.listener.onDidGrant({ticket, target});
	}

	#returnSlot(arbiter: MemberId, ticket: TicketId): void {
		this.transport.sendRequest(arbiter, {
			kind: 'release', ticket, outcome: 'unused', runMilliseconds: 0,
		});
	}

	#receiveRefusal(ticket: TicketId, refusal: JobRefusal): void {
		const session = this.#sessionByTicket.get(ticket);
		const pending = session?.pendingRequests.get(ticket);
		if (session === undefined || pending === undefined) {
			return;
		}

		session.pendingRequests.delete(ticket);
		this.#sessionByTicket.delete(ticket);
		pending.listener.onDidRefuse(ticket, refusal);
	}

	/** Resends requests that are unknown to the arbiter; they bypass admission control. */
	#resendRequests(arbiter: MemberId, tickets: readonly TicketId[]): void {
		for (const ticket of tickets) {
			const pending = this.#sessionByTicket.get(ticket)?.pendingRequests.get(ticket);
			if (pending !== undefined) {
				const remainingMilliseconds = pending.deadlineAt - this.clock.now();
				this.transport.sendRequest(arbiter, {
					...pending.request, isAdmitted: true, remainingMilliseconds, tasks: [pending.task],
				});
			}
		}
	}

	#refuseExpired(session: ArbiterSession): void {
		const now = this.clock.now();
		const isOwn = session.zone === this.membership.self.zone;
		const searchLimit = isOwn ? ownZoneSearchMilliseconds : otherZoneSearchMilliseconds;
		for (const [ticket, pending] of session.pendingRequests) {
			if (now >= pending.deadlineAt) {
				this.#refuse(session, ticket, {cause: 'deadlineUnreachable', detail: 'the deadline passed while the task waited for a slot', retryAfterMilliseconds: 1000});
			} else if (session.arbiter === undefined && now - pending.requestedAt > searchLimit) {
				this.#refuse(session, ticket, {cause: 'noTarget', detail: `nobody lends the slots of zone ${session.zone}`, retryAfterMilliseconds: 1000});
			}
		}
	}

	#refuse(session: ArbiterSession, ticket: TicketId, refusal: JobRefusal): void {
		session.sendIfKnown({kind: 'withdraw', tickets: [ticket]});
		this.#receiveRefusal(ticket, refusal);
	}

	#sessionFor(zone: AvailabilityZone): ArbiterSession {
		const existing = this.#sessions.get(zone);
		if (existing !== undefined) {
			return existing;
		}

		const session = new ArbiterSession(zone, this.membership, this.clock, this.transport);
		this.#sessions.set(zone, session);
		return session;
	}
}
