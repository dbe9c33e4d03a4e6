/** Leases slots and takes them back. */
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

/** Allowance for delivering a grant and for stopping a task at its limit. */
const leaseMarginMilliseconds = 1500;
/** Time after which a grant has either been delivered or been lost. */
const deliveryMilliseconds = 1500;

type SlotLeasesParts = {
	readonly clock: Clock;
	readonly journal: Journal;
	readonly slotTable: SlotTable;
	readonly health: TargetHealth;
	readonly runTimes: RunTimes;
};

/** Also records target health and run times from the outcomes of released slots. */
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

	/** Takes over a slot leased by a previous arbiter. */
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

		// After a lost connection the task may still run; the slot stays leased until the target reports its end or
		// the lease expires.
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

	/** Frees the slots of expired leases. */
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

	/** Frees a slot whose task has an unknown outcome. */
	reclaim(slot: LeasedSlot): void {
		this.parts.slotTable.free(slot.ticket);
		this.parts.health.cancelProbe(slot.target);
	}

	/** Whether information that is `lagMilliseconds` old takes the grant of the slot into account. */
	isGrantDelivered(slot: LeasedSlot, lagMilliseconds = 0): boolean {
		return this.parts.clock.now() - slot.grantedAt > deliveryMilliseconds + lagMilliseconds;
	}
}
