/** Settles the differences between what an arbiter knows of a requester and what the requester knows. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {SlotLeases} from './slot-leases.js';
import type {PlacementReply} from './placement-reply.js';
import type {PlacementRequest} from './placement-request.js';
import type {Requesters} from './requesters.js';
import type {SlotTable} from './slot-table.js';
import type {QueuedTasks} from './queued-tasks.js';

type ReconciliationParts = {
	readonly zone: AvailabilityZone;
	readonly ledger: SlotTable;
	readonly lending: SlotLeases;
	readonly requesters: Requesters;
	readonly waiting: QueuedTasks;
	readonly outbox: (to: MemberId, reply: PlacementReply) => void;
};

/**
 * A grant or a release that was lost on the way leaves the two sides with different counts. Those that stay different
 * are settled by an inventory: the requester is right about what it holds and waits for.
 */
export class Reconciliation {
	constructor(private readonly parts: ReconciliationParts) {}

	/** Asks a requester for its inventory. */
	recount(requester: MemberId): void {
		this.parts.outbox(requester, {kind: 'recount', zone: this.parts.zone});
	}

	compareCounts(from: MemberId, {held, waiting}: Extract<PlacementRequest, {kind: 'renew'}>): void {
		const ownHeld = this.parts.ledger.held.filter(slot => slot.requester === from && !slot.isOrphaned).length;
		const ownWaiting = this.parts.waiting.of(from).length;
		if (this.parts.requesters.compared(from, ownHeld === held && ownWaiting === waiting)) {
			this.recount(from);
		}
	}

	takeInventory(from: MemberId, inventory: Extract<PlacementRequest, {kind: 'inventory'}>): void {
		const {ledger, lending} = this.parts;
		const named = new Set(inventory.held.map(slot => slot.ticket));
		for (const slot of ledger.held) {
			if (slot.requester === from && !named.has(slot.ticket) && lending.hasArrived(slot)) {
				lending.reclaim(slot);
			}
		}

		for (const {ticket, target, profile, endsInMilliseconds} of inventory.held) {
			if (ledger.slotOf(ticket) === undefined) {
				lending.adopt(from, {ticket, target, profile}, endsInMilliseconds);
			}
		}

		this.#compareWaiting(from, inventory.waiting);
	}

	#compareWaiting(from: MemberId, tickets: readonly TicketId[]): void {
		const {ledger, waiting, outbox} = this.parts;
		const named = new Set(tickets);
		for (const ticket of waiting.of(from)) {
			if (!named.has(ticket.task.ticket)) {
				waiting.drop(ticket);
			}
		}

		const unknown = tickets.filter(ticket => !waiting.has(ticket) && ledger.slotOf(ticket) === undefined);
		if (unknown.length > 0) {
			outbox(from, {kind: 'unknown', tickets: unknown});
		}
	}
}
