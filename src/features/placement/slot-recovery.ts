/** Recovers slots whose holder is unknown or gone, from the usage that targets report. */
import type {InstanceId} from '../../base/instance-id.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {TargetUsage} from '../../runtime/targets/target-usage.js';
import type {SlotLeases} from './slot-leases.js';
import type {SlotTable} from './slot-table.js';
import {taskIdOf} from './task-id-of.js';

/** Orphaned slots belonged to a former requester; quarantined slots may have been leased by a previous arbiter. */
export class SlotRecovery {
	constructor(private readonly slotTable: SlotTable, private readonly slotLeases: SlotLeases) {}

	/** Quarantines all slots that aren't known to be leased, since the previous arbiter may have leased them. */
	beginQuarantine(): void {
		this.slotTable.quarantineUnaccounted();
	}

	get quarantinedTargets(): readonly Instance[] {
		return this.slotTable.quarantinedTargets;
	}

	/** Ends the quarantine, once all leases of the previous arbiter have expired. */
	endQuarantine(): void {
		for (const {id} of this.slotTable.quarantinedTargets) {
			this.slotTable.setQuarantinedSlots(id, 0);
		}
	}

	/** Targets that may still run tasks of entries that are gone. */
	get orphanedTargets(): readonly Instance[] {
		const ids = new Set(this.slotTable.leasedSlots.filter(slot => slot.isOrphaned).map(slot => slot.target));
		return this.slotTable.targets.filter(target => ids.has(target.id));
	}

	/** Applies the list of running tasks reported by a target. */
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
