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
const renewalPeriodMilliseconds = 250;
/** Counts are compared this often in any case. */
const comparisonPeriodMilliseconds = 2000;

type HeldSlot = {readonly target: TargetAddress; readonly profile: PendingSlotRequest['request']['profile']; readonly endsAt: number};

/** Tells a new arbiter of all that is open, and searches for one where none is known. */
export class ArbiterSession {
	readonly pendingRequests = new Map<TicketId, PendingSlotRequest>();
	readonly heldSlots = new Map<TicketId, HeldSlot>();
	#arbiter: MemberId | undefined;
	/** When the arbiter was sent something last, and when a renewal. */
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

	/** Asks the arbiter, or for it; a new one learns of the request with all that is open. */
	sendOrSearch(request: PlacementRequest): void {
		if (this.#arbiter === undefined) {
			this.#searchArbiter();
		} else {
			this.#sendRequest(this.#arbiter, request);
		}
	}

	/** Tells the arbiter, if there is one, what a new one needn't know. */
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
		for (const member of this.membership.inZone(this.zone)) {
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
