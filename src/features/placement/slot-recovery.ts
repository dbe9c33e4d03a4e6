/** Finds out from targets which slots are free that no living entry accounts for. */
import type {InstanceId} from '../../base/instance-id.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {TargetUsage} from '../../runtime/targets/target-usage.js';
import type {SlotLeases} from './slot-leases.js';
import type {SlotTable} from './slot-table.js';
import {taskIdOf} from './task-id-of.js';

/** Slots of former requesters are orphaned, slots that a former arbiter may have lent are in quarantine. */
export class SlotRecovery {
	constructor(private readonly slotTable: SlotTable, private readonly slotLeases: SlotLeases) {}

	/** Withholds every slot that isn't accounted for, since the former arbiter may have lent it. */
	beginQuarantine(): void {
		this.slotTable.quarantineUnaccounted();
	}

	get quarantinedTargets(): readonly Instance[] {
		return this.slotTable.quarantinedTargets;
	}

	/** Ends all quarantine: every lease of the former arbiter has ended by now. */
	endQuarantine(): void {
		for (const {id} of this.slotTable.quarantinedTargets) {
			this.slotTable.setQuarantinedSlots(id, 0);
		}
	}

	/** Targets that run tasks of entries that are gone. */
	get orphanedTargets(): readonly Instance[] {
		const ids = new Set(this.slotTable.leasedSlots.filter(slot => slot.isOrphaned).map(slot => slot.target));
		return this.slotTable.targets.filter(target => ids.has(target.id));
	}

	/** Takes a target's own word on what it runs. */
	applyUsage(target: InstanceId, usage: TargetUsage): void {
		const running = new Set(usage.running);
		for (const slot of this.slotTable.leasedSlots) {
			if (slot.target === target && slot.isOrphaned && this.slotLeases.isGrantDelivered(slot, usage.lagMilliseconds) && !running.has(taskIdOf(slot.ticket))) {
				this.slotTable.free(slot.ticket);
			}
		}

		const accounted = new Set(this.slotTable.leasedSlots.filter(slot => slot.target === target).map(slot => taskIdOf(slot.ticket)));
		if (this.slotTable.quarantinedTargets.some(({id}) => id === target)) {
			this.slotTable.setQuarantinedSlots(target, usage.running.filter(task => !accounted.has(task)).length);
		}
	}
}
