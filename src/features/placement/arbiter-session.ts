/** Requests and slots of this entry at the arbiter of one zone. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {TargetAddress} from '../../runtime/targets/target-address.js';
import type {Membership} from '../membership/membership.js';
import type {ArbiterTransport} from './arbiter-transport.js';
import type {PlacementRequest} from './placement-request.js';
import type {PendingSlotRequest} from './pending-slot-request.js';

/** Maximum time between messages to the arbiter, which considers an entry without messages silent. */
const renewalPeriodMilliseconds = 250;
/** Maximum time between renewals, by which the arbiter compares its counts with this entry's. */
const comparisonPeriodMilliseconds = 2000;

type HeldSlot = {readonly target: TargetAddress; readonly profile: PendingSlotRequest['request']['profile']; readonly endsAt: number};

/** Renews the requests and slots, resends them to a new arbiter, and searches for an arbiter if none is known. */
export class ArbiterSession {
	readonly pendingRequests = new Map<TicketId, PendingSlotRequest>();
	readonly heldSlots = new Map<TicketId, HeldSlot>();
	#arbiter: MemberId | undefined;
	/** Send times of the latest request and the latest renewal. */
	#requestedAt = Number.NEGATIVE_INFINITY;
	#renewedAt = Number.NEGATIVE_INFINITY;

	constructor(
		readonly zone: AvailabilityZone,
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly transport: ArbiterTransport,
	) {}

	get arbiter(): MemberId | undefined {
		return this.#arbiter;
	}

	get #isIdle(): boolean {
		return this.pendingRequests.size + this.heldSlots.size === 0;
	}

	/**
	 * Sends a request, or searches for an arbiter if none is known; a new arbiter learns of the request from the
	 * inventory.
	 */
	sendOrSearch(request: PlacementRequest): void {
		if (this.#arbiter === undefined) {
			this.#searchArbiter();
		} else {
			this.#sendRequest(this.#arbiter, request);
		}
	}

	/** Sends a request that is irrelevant to a new arbiter; dropped if no arbiter is known. */
	sendIfKnown(request: PlacementRequest): void {
		if (this.#arbiter !== undefined) {
			this.#sendRequest(this.#arbiter, request);
		}
	}

	tick(): void {
		if (this.#isIdle) {
			return;
		}

		if (this.#arbiter === undefined) {
			this.#searchArbiter();
			return;
		}

		const now = this.clock.now();
		if (now - this.#requestedAt >= renewalPeriodMilliseconds || now - this.#renewedAt >= comparisonPeriodMilliseconds) {
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

	/** Resends the inventory, since requests or replies may have been lost with the connection. */
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

	/** Handles the reply that a member is no longer the arbiter. */
	arbiterResigned(member: MemberId): void {
		if (this.#arbiter === member) {
			this.#arbiter = undefined;
			this.#searchArbiter();
		}
	}

	sendInventory(to: MemberId): void {
		const now = this.clock.now();
		const held = [...this.heldSlots].map(([ticket, {target, profile, endsAt}]) => ({
			ticket, target: target.id, profile, endsInMilliseconds: endsAt - now,
		}));
		this.transport.sendRequest(to, {kind: 'inventory', held, waiting: [...this.pendingRequests.keys()]});
	}

	#searchArbiter(): void {
		for (const member of this.membership.membersInZone(this.zone)) {
			if (member.id !== this.membership.self.id) {
				this.transport.queryArbiter(member, this.zone);
			}
		}
	}

	#renew(arbiter: MemberId): void {
		this.#renewedAt = this.clock.now();
		this.#sendRequest(arbiter, {kind: 'renew', held: this.heldSlots.size, waiting: this.pendingRequests.size});
	}

	#sendRequest(arbiter: MemberId, request: PlacementRequest): void {
		this.#requestedAt = this.clock.now();
		this.transport.sendRequest(arbiter, request);
	}
}
