/** A slot client whose grants tests control. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {TicketId} from '../../src/base/ticket-id.js';
import type {JobRefusal} from '../../src/features/placement/job-refusal.js';
import type {PlacementRequest} from '../../src/features/placement/placement-request.js';
import {SlotClient} from '../../src/features/placement/slot-client.js';
import type {SlotListener} from '../../src/features/placement/slot-listener.js';

type SlotRequest = Extract<PlacementRequest, {kind: 'want'}>;
type PendingRequest = {readonly zone: AvailabilityZone; readonly task: SlotRequest['tasks'][number]; readonly listener: SlotListener};

/** Records slot requests; with `grantsImmediately` it grants each request at once. */
export class FakeSlotClient extends SlotClient {
	readonly pendingRequests = new Map<TicketId, PendingRequest>();
	readonly requested: PendingRequest[] = [];
	readonly released: Array<{readonly ticket: TicketId; readonly outcome: string}> = [];
	readonly withdrawn: TicketId[] = [];

	constructor(private readonly grantsImmediately: boolean) {
		super();
	}

	override requestSlots(zone: AvailabilityZone, request: SlotRequest, _deadlineAt: number, listener: SlotListener): void {
		for (const task of request.tasks) {
			const pending = {zone, task, listener};
			this.requested.push(pending);
			this.pendingRequests.set(task.ticket, pending);
		}

		if (this.grantsImmediately) {
			for (const task of request.tasks) {
				this.grant(task.ticket);
			}
		}
	}

	override release(ticket: TicketId, outcome: string): void {
		this.released.push({ticket, outcome});
	}

	override withdraw(tickets: readonly TicketId[]): void {
		for (const ticket of tickets) {
			if (this.pendingRequests.delete(ticket)) {
				this.withdrawn.push(ticket);
			}
		}
	}

	grant(ticket: TicketId, target = 'target-1'): void {
		const pending = this.pendingRequests.get(ticket);
		this.pendingRequests.delete(ticket);
		pending?.listener.onDidGrant({ticket, target: {id: target as InstanceId, address: '127.0.0.1:1'}});
	}

	refuse(ticket: TicketId, refusal: JobRefusal): void {
		const pending = this.pendingRequests.get(ticket);
		this.pendingRequests.delete(ticket);
		pending?.listener.onDidRefuse(ticket, refusal);
	}
}
