/** What an entry has open with the arbiter of one zone, and when it tells the arbiter so. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {TargetAddress} from '../../runtime/targets/target-address.js';
import type {Membership} from '../membership/membership.js';
import type {ArbiterTransport} from './arbiter-transport.js';
import type {PlacementRequest} from './placement-request.js';
import type {PendingSlotRequest} from './pending-slot-request.js';

/** Every request shows that this entry is awake; without one for so long, a renewal does. */
const renewMilliseconds = 250;
/** Counts are compared this often in any case. */
const compareMilliseconds = 2000;

type Held = {readonly target: TargetAddress; readonly profile: PendingSlotRequest['want']['profile']; readonly endsAt: number};

/** Tells a new arbiter of all that is open, and searches for one where none is known. */
export class ArbiterSession {
	readonly wishes = new Map<TicketId, PendingSlotRequest>();
	readonly held = new Map<TicketId, Held>();
	#arbiter: MemberId | undefined;
	/** When the arbiter was sent something last, and when a renewal. */
	#askedAt = Number.NEGATIVE_INFINITY;
	#renewedAt = Number.NEGATIVE_INFINITY;

	constructor(
		readonly zone: AvailabilityZone,
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly post: ArbiterTransport,
	) {}

	get arbiter(): MemberId | undefined {
		return this.#arbiter;
	}

	get #isIdle(): boolean {
		return this.wishes.size + this.held.size === 0;
	}

	/** Asks the arbiter, or for it; a new one learns of the request with all that is open. */
	ask(request: PlacementRequest): void {
		if (this.#arbiter === undefined) {
			this.#search();
		} else {
			this.#request(this.#arbiter, request);
		}
	}

	/** Tells the arbiter, if there is one, what a new one needn't know. */
	tell(request: PlacementRequest): void {
		if (this.#arbiter !== undefined) {
			this.#request(this.#arbiter, request);
		}
	}

	tick(): void {
		if (this.#isIdle) {
			return;
		}

		if (this.#arbiter === undefined) {
			this.#search();
			return;
		}

		const now = this.clock.now();
		if (now - this.#askedAt >= renewMilliseconds || now - this.#renewedAt >= compareMilliseconds) {
			this.#renew(this.#arbiter);
		}
	}

	setArbiter(arbiter: MemberId | undefined): void {
		if (this.#arbiter === arbiter) {
			return;
		}

		this.#arbiter = arbiter;
		if (arbiter !== undefined && !this.#isIdle) {
			this.#renew(arbiter);
			this.sendInventory(arbiter);
		}
	}

	/** The arbiter is told anew what is open: requests, or its replies, may have been lost with the connection. */
	memberReconnected(member: MemberId): void {
		if (this.#arbiter === member && !this.#isIdle) {
			this.sendInventory(member);
		}
	}

	memberLost(member: MemberId): void {
		if (this.#arbiter === member) {
			this.#arbiter = undefined;
		}
	}

	/** A member isn't the arbiter any more. */
	resigned(member: MemberId): void {
		if (this.#arbiter === member) {
			this.#arbiter = undefined;
			this.#search();
		}
	}

	sendInventory(to: MemberId): void {
		const now = this.clock.now();
		const held = [...this.held].map(([ticket, {target, profile, endsAt}]) => ({
			ticket, target: target.id, profile, endsInMilliseconds: endsAt - now,
		}));
		this.post.request(to, {kind: 'inventory', held, waiting: [...this.wishes.keys()]});
	}

	#search(): void {
		for (const member of this.membership.membersInZone(this.zone)) {
			if (member.id !== this.membership.self.id) {
				this.post.queryArbiter(member, this.zone);
			}
		}
	}

	#renew(arbiter: MemberId): void {
		this.#renewedAt = this.clock.now();
		this.#request(arbiter, {kind: 'renew', held: this.held.size, waiting: this.wishes.size});
	}

	#request(arbiter: MemberId, request: PlacementRequest): void {
		this.#askedAt = this.clock.now();
		this.post.request(arbiter, request);
	}
}
