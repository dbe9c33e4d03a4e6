/** Reconciles the arbiter's state with that of a requester. */
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
	readonly slotTable: SlotTable;
	readonly slotLeases: SlotLeases;
	readonly requesters: Requesters;
	readonly queuedTasks: QueuedTasks;
	readonly sendReply: (to: MemberId, reply: PlacementReply) => void;
};

/**
 * Lost grants and releases lead to different counts on the two sides. If the difference persists, the arbiter
 * requests an inventory; the requester is authoritative for its held slots and waiting requests.
 */
export class Reconciliation {
	constructor(private readonly parts: ReconciliationParts) {}

	/** Asks a requester for its inventory. */
	requestInventory(requester: MemberId): void {
		this.parts.sendReply(requester, {kind: 'recount', zone: this.parts.zone});
	}

	compareCounts(from: MemberId, {held, waiting}: Extract<PlacementRequest, {kind: 'renew'}>): void {
		const ownHeld = this.parts.slotTable.leasedSlots.filter(slot => slot.requester === from && !slot.isOrphaned).length;
		const ownWaiting = this.parts.queuedTasks.ofRequester(from).length;
		if (this.parts.requesters.recordComparison(from, ownHeld === held && ownWaiting === waiting)) {
			this.requestInventory(from);
		}
	}

	applyInventory(from: MemberId, inventory: Extract<PlacementRequest, {kind: 'inventory'}>): void {
		const {slotTable, slotLeases} = this.parts;
		const named = new Set(inventory.held.map(slot => slot.ticket));
		for (const slot of slotTable.leasedSlots) {
			if (slot.requester === from && !named.has(slot.ticket) && slotLeases.isGrantDelivered(slot)) {
				slotLeases.reclaim(slot);
			}
		}

		for (const {ticket, target, profile, endsInMilliseconds} of inventory.held) {
			if (slotTable.slotOf(ticket) === undefined) {
				slotLeases.adopt(from, {ticket, target, profile}, endsInMilliseconds);
			}
		}

		this.#compareWaiting(from, inventory.waiting);
	}

	#compareWaiting(from: MemberId, tickets: readonly TicketId[]): void {
		const {slotTable, queuedTasks, sendReply} = this.parts;
		const named = new Set(tickets);
		for (const ticket of queuedTasks.ofRequester(from)) {
			if (!named.has(ticket.task.ticket)) {
				queuedTasks.remove(ticket);
			}
		}

		const unknown = tickets.filter(ticket => !queuedTasks.has(ticket) && slotTable.slotOf(ticket) === undefined);
		if (unknown.length > 0) {
			sendReply(from, {kind: 'unknown', tickets: unknown});
		}
	}
}
