/** Lends slots under leases, and takes them back. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {LeasedSlot} from './leased-slot.js';
import type {PlacementRequest} from './placement-request.js';
import type {RunTimes} from './run-times.js';
import type {SlotTable} from './slot-table.js';
import type {TargetHealth} from './target-health.js';
import {taskIdOf} from './task-id-of.js';
import type {QueuedTask} from './queued-task.js';

/** What a target may take beyond a task's limit to stop it, and a grant to reach its requester. */
const leaseMarginMilliseconds = 1500;
/** A slot that was lent this long before has reached its requester, or never will. */
const deliveryMilliseconds = 1500;

type SlotLeasesParts = {
	readonly clock: Clock;
	readonly journal: Journal;
	readonly slotTable: SlotTable;
	readonly health: TargetHealth;
	readonly runTimes: RunTimes;
};

/** Learns from each slot that comes back how its target does and how long its profile's tasks run. */
export class SlotLeases {
	constructor(private readonly parts: SlotLeasesParts) {}

	grant(ticket: QueuedTask, instance: Instance): void {
		const {clock, journal, slotTable, health} = this.parts;
		const now = clock.now();
		const {request, task, requester} = ticket;
		slotTable.lease({
			requester,
			ticket: task.ticket,
			target: instance.id,
			profile: request.profile,
			job: request.job,
			grantedAt: now,
			leaseEndsAt: now + request.limitMilliseconds + leaseMarginMilliseconds,
			memoryMegabytes: task.memoryMegabytes,
			accelerators: task.accelerators,
			isOrphaned: false,
		});
		const condition = health.condition(instance.id, now);
		if (condition === 'probe') {
			health.beginProbe(instance.id);
		}

		journal.record('slotLent', {
			ticket: task.ticket, target: instance.id, requester, profile: request.profile, waitedMilliseconds: Math.round(now - ticket.arrivedAt), condition,
		});
	}

	/** Takes over a slot that a former arbiter lent. */
	adopt(requester: MemberId, slot: Pick<LeasedSlot, 'ticket' | 'target' | 'profile'>, endsInMilliseconds: number): void {
		const now = this.parts.clock.now();
		this.parts.slotTable.lease({
			...slot,
			requester,
			job: taskIdOf(slot.ticket).split('/')[0] as LeasedSlot['job'],
			grantedAt: now,
			leaseEndsAt: now + endsInMilliseconds + leaseMarginMilliseconds,
			memoryMegabytes: 0,
			accelerators: 0,
			isOrphaned: false,
		});
	}

	release(from: MemberId, {ticket, outcome, runMilliseconds}: Extract<PlacementRequest, {kind: 'release'}>): void {
		const {clock, slotTable, health, runTimes} = this.parts;
		const slot = slotTable.slotOf(ticket);
		if (slot?.requester !== from || slot.isOrphaned) {
			return;
		}

		// A connection that broke says nothing of the task: its slot is free when the target says so, or the lease ends.
		if (outcome === 'lost') {
			slot.isOrphaned = true;
		} else {
			slotTable.free(ticket);
		}

		if (outcome === 'unused') {
			health.cancelProbe(slot.target);
			return;
		}

		const expectedMilliseconds = runTimes.mean(slot.profile, runMilliseconds);
		health.report({
			target: slot.target, profile: slot.profile, outcome, runMilliseconds, expectedMilliseconds,
		}, clock.now());
		if (outcome === 'result') {
			runTimes.record(slot.profile, runMilliseconds);
		}
	}

	/** Frees the slots whose leases have ended. */
	expireLeases(): void {
		const {clock, journal, slotTable} = this.parts;
		const now = clock.now();
		for (const slot of slotTable.leasedSlots) {
			if (now > slot.leaseEndsAt) {
				journal.record('leaseEnded', {ticket: slot.ticket, target: slot.target, requester: slot.requester});
				this.reclaim(slot);
			}
		}
	}

	/** Frees a slot of whose task nothing was learned. */
	reclaim(slot: LeasedSlot): void {
		this.parts.slotTable.free(slot.ticket);
		this.parts.health.cancelProbe(slot.target);
	}

	/** Whether news that lag by so much tell of a slot: those sent before its grant arrived don't. */
	isGrantDelivered(slot: LeasedSlot, lagMilliseconds = 0): boolean {
		return this.parts.clock.now() - slot.grantedAt > deliveryMilliseconds + lagMilliseconds;
	}
}
