/** A desk whose slots a test hands out. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {TicketId} from '../../src/base/ticket-id.js';
import type {JobRefusal} from '../../src/features/placement/job-refusal.js';
import type {PlacementRequest} from '../../src/features/placement/placement-request.js';
import {SlotClient} from '../../src/features/placement/slot-client.js';
import type {SlotListener} from '../../src/features/placement/slot-listener.js';

type Want = Extract<PlacementRequest, {kind: 'want'}>;
type Wish = {readonly zone: AvailabilityZone; readonly task: Want['tasks'][number]; readonly listener: SlotListener};

/** Records what's asked; with `isGenerous` it grants everything at once. */
export class FakeSlotClient extends SlotClient {
	readonly pendingRequests = new Map<TicketId, Wish>();
	readonly requested: Wish[] = [];
	readonly released: Array<{readonly ticket: TicketId; readonly outcome: string}> = [];
	readonly withdrawn: TicketId[] = [];

	constructor(private readonly isGenerous: boolean) {
		super();
	}

	override requestSlots(zone: AvailabilityZone, want: Want, _deadlineAt: number, listener: SlotListener): void {
		for (const task of want.tasks) {
			const wish = {zone, task, listener};
			this.requested.push(wish);
			this.pendingRequests.set(task.ticket, wish);
		}

		if (this.isGenerous) {
			for (const task of want.tasks) {
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
		const wish = this.pendingRequests.get(ticket);
		this.pendingRequests.delete(ticket);
		wish?.listener.onDidGrant({ticket, target: {id: target as InstanceId, address: '127.0.0.1:1'}});
	}

	refuse(ticket: TicketId, refusal: JobRefusal): void {
		const wish = this.pendingRequests.get(ticket);
		this.pendingRequests.delete(ticket);
		wish?.listener.onDidRefuse(ticket, refusal);
	}
}
