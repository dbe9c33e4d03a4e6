/** Asks the arbiters of all zones for slots, over the peer network. */
import {match} from 'ts-pattern';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {TargetAddress} from '../../runtime/targets/target-address.js';
import type {Loss} from '../membership/loss.js';
import type {Membership} from '../membership/membership.js';
import type {Holder} from './holder.js';
import type {JobRefusal} from './job-refusal.js';
import type {PlacementReply} from './placement-reply.js';
import type {PlacementRequest} from './placement-request.js';
import {SlotDesk} from './slot-desk.js';
import type {SlotListener} from './slot-listener.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 100;
/** Every request shows that this entry is awake; without one for so long, a renewal does. */
const renewMilliseconds = 250;
/** Counts are compared this often in any case. */
const compareMilliseconds = 2000;
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
type Wish = {
	readonly want: Want;
	readonly task: Want['tasks'][number];
	readonly deadlineAt: number;
	readonly askedAt: number;
	readonly listener: SlotListener;
};
type Held = {readonly target: TargetAddress; readonly profile: Want['profile']; readonly endsAt: number};
type ZoneState = {
	readonly zone: AvailabilityZone;
	arbiter: MemberId | undefined;
	/** When the arbiter was sent something last, and when a renewal. */
	askedAt: number;
	renewedAt: number;
	readonly wishes: Map<TicketId, Wish>;
	readonly held: Map<TicketId, Held>;
};

/** How the desk reaches arbiters; a message to this entry itself is delivered too. */
type Post = {
	readonly request: (to: MemberId, request: PlacementRequest) => void;
	/** Asks an entry of a zone who the arbiter is. */
	readonly askHolder: (of: Member, zone: AvailabilityZone) => void;
};

/** Keeps every wish until it's granted, refused or withdrawn, and tells a new arbiter of all that is open. */
export class NetworkSlotDesk extends SlotDesk {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #zones = new Map<AvailabilityZone, ZoneState>();
	readonly #zoneOf = new Map<TicketId, ZoneState>();

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly journal: Journal,
		private readonly post: Post,
	) {
		super();
	}

	/** Slots that this entry holds now. */
	get held(): number {
		return [...this.#zones.values()].reduce((sum, state) => sum + state.held.size, 0);
	}

	override want(zone: AvailabilityZone, want: Want, deadlineAt: number, listener: SlotListener): void {
		const state = this.#stateOf(zone);
		for (const task of want.tasks) {
			state.wishes.set(task.ticket, {
				want, task, deadlineAt, askedAt: this.clock.now(), listener,
			});
			this.#zoneOf.set(task.ticket, state);
		}

		if (state.arbiter === undefined) {
			this.#search(state);
			return;
		}

		this.#request(state, state.arbiter, {...want, remainingMilliseconds: deadlineAt - this.clock.now()});
	}

	override release(ticket: TicketId, outcome: Extract<PlacementRequest, {kind: 'release'}>['outcome'], runMilliseconds: number): void {
		const state = this.#zoneOf.get(ticket);
		if (state === undefined) {
			return;
		}

		state.held.delete(ticket);
		this.#zoneOf.delete(ticket);
		this.#tell(state, {
			kind: 'release', ticket, outcome, runMilliseconds,
		});
	}

	override withdraw(tickets: readonly TicketId[]): void {
		const byZone = new Map<ZoneState, TicketId[]>();
		for (const ticket of tickets) {
			const state = this.#zoneOf.get(ticket);
			if (state?.wishes.delete(ticket)) {
				this.#zoneOf.delete(ticket);
				byZone.set(state, [...byZone.get(state) ?? [], ticket]);
			}
		}

		for (const [state, list] of byZone) {
			this.#tell(state, {kind: 'withdraw', tickets: list});
		}
	}

	tick(): void {
		for (const state of this.#zones.values()) {
			this.#giveUpLate(state);
			if (state.wishes.size + state.held.size === 0) {
				continue;
			}

			if (state.arbiter === undefined) {
				this.#search(state);
			} else {
				this.#renewIfDue(state, state.arbiter);
			}
		}
	}

	/** Takes note of a zone's arbiter; a new one is told of all wishes and slots. */
	setArbiter(zone: AvailabilityZone, holder: Holder | undefined): void {
		const state = this.#stateOf(zone);
		if (state.arbiter === holder?.member) {
			return;
		}

		state.arbiter = holder?.member;
		if (state.arbiter !== undefined && state.wishes.size + state.held.size > 0) {
			this.#renew(state, state.arbiter);
			this.#sendInventory(state, state.arbiter);
		}
	}

	/** The arbiter is told anew what is open: requests, or its replies, may have been lost with the connection. */
	memberReconnected(member: MemberId): void {
		for (const state of this.#zones.values()) {
			if (state.arbiter === member && state.wishes.size + state.held.size > 0) {
				this.#sendInventory(state, member);
			}
		}
	}

	memberLost({member}: Loss): void {
		for (const state of this.#zones.values()) {
			if (state.arbiter === member.id) {
				state.arbiter = undefined;
			}
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
				this.#sendInventory(this.#stateOf(zone), from);
			})
			.with({kind: 'unknown'}, ({tickets}) => {
				this.#wantAgain(from, tickets);
			})
			.with({kind: 'elsewhere'}, ({zone}) => {
				this.#elsewhere(from, zone);
			})
			.exhaustive();
	}

	#granted(from: MemberId, echo: number, ticket: TicketId, target: TargetAddress): void {
		const state = this.#zoneOf.get(ticket);
		const wish = state?.wishes.get(ticket);
		if (state === undefined || wish === undefined) {
			this.post.request(from, {
				kind: 'release', ticket, outcome: 'unused', runMilliseconds: 0,
			});
			return;
		}

		if (this.clock.now() - echo > grantFreshnessMilliseconds || from !== state.arbiter) {
			this.journal.record('staleGrantDropped', {ticket, arbiter: from});
			this.post.request(from, {
				kind: 'release', ticket, outcome: 'unused', runMilliseconds: 0,
			});
			this.#wantAgain(from, [ticket]);
			return;
		}

		state.wishes.delete(ticket);
		state.held.set(ticket, {target, profile: wish.want.profile, endsAt: this.clock.now() + wish.want.limitMilliseconds});
		wish.listener.onDidGrant({ticket, target});
	}

	#refused(ticket: TicketId, refusal: JobRefusal): void {
		const state = this.#zoneOf.get(ticket);
		const wish = state?.wishes.get(ticket);
		if (state === undefined || wish === undefined) {
			return;
		}

		state.wishes.delete(ticket);
		this.#zoneOf.delete(ticket);
		wish.listener.onDidRefuse(ticket, refusal);
	}

	/** Sends wishes again that the arbiter lacks; they were admitted before, or ask to be. */
	#wantAgain(arbiter: MemberId, tickets: readonly TicketId[]): void {
		for (const ticket of tickets) {
			const wish = this.#zoneOf.get(ticket)?.wishes.get(ticket);
			if (wish !== undefined) {
				const remainingMilliseconds = wish.deadlineAt - this.clock.now();
				this.post.request(arbiter, {
					...wish.want, isAdmitted: true, remainingMilliseconds, tasks: [wish.task],
				});
			}
		}
	}

	#elsewhere(from: MemberId, zone: AvailabilityZone): void {
		const state = this.#stateOf(zone);
		if (state.arbiter === from) {
			state.arbiter = undefined;
			this.#search(state);
		}
	}

	#giveUpLate(state: ZoneState): void {
		const now = this.clock.now();
		const isOwn = state.zone === this.membership.self.zone;
		const searchLimit = isOwn ? ownSearchMilliseconds : foreignSearchMilliseconds;
		for (const [ticket, wish] of state.wishes) {
			if (now >= wish.deadlineAt) {
				this.#giveUp(state, ticket, {cause: 'deadlineUnreachable', detail: 'the deadline passed while the task waited for a slot', retryAfterMilliseconds: 1000});
			} else if (state.arbiter === undefined && now - wish.askedAt > searchLimit) {
				this.#giveUp(state, ticket, {cause: 'noTarget', detail: `nobody lends the slots of zone ${state.zone}`, retryAfterMilliseconds: 1000});
			}
		}
	}

	#giveUp(state: ZoneState, ticket: TicketId, refusal: JobRefusal): void {
		this.#tell(state, {kind: 'withdraw', tickets: [ticket]});
		this.#refused(ticket, refusal);
	}

	#search(state: ZoneState): void {
		for (const member of this.membership.inZone(state.zone)) {
			if (member.id !== this.membership.self.id) {
				this.post.askHolder(member, state.zone);
			}
		}
	}

	#renewIfDue(state: ZoneState, arbiter: MemberId): void {
		const now = this.clock.now();
		if (now - state.askedAt >= renewMilliseconds || now - state.renewedAt >= compareMilliseconds) {
			this.#renew(state, arbiter);
		}
	}

	#renew(state: ZoneState, arbiter: MemberId): void {
		state.renewedAt = this.clock.now();
		this.#request(state, arbiter, {kind: 'renew', held: state.held.size, waiting: state.wishes.size});
	}

	#sendInventory(state: ZoneState, arbiter: MemberId): void {
		const now = this.clock.now();
		const held = [...state.held].map(([ticket, {target, profile, endsAt}]) => ({
			ticket, target: target.id, profile, endsInMilliseconds: endsAt - now,
		}));
		this.post.request(arbiter, {kind: 'inventory', held, waiting: [...state.wishes.keys()]});
	}

	#tell(state: ZoneState, request: PlacementRequest): void {
		if (state.arbiter !== undefined) {
			this.#request(state, state.arbiter, request);
		}
	}

	#request(state: ZoneState, arbiter: MemberId, request: PlacementRequest): void {
		state.askedAt = this.clock.now();
		this.post.request(arbiter, request);
	}

	#stateOf(zone: AvailabilityZone): ZoneState {
		const known = this.#zones.get(zone);
		if (known !== undefined) {
			return known;
		}

		const state: ZoneState = {
			zone, arbiter: undefined, askedAt: Number.NEGATIVE_INFINITY, renewedAt: Number.NEGATIVE_INFINITY, wishes: new Map(), held: new Map(),
		};
		this.#zones.set(zone, state);
		return state;
	}
}
