/** Slots of the targets of one zone, and their leases. */
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {TargetCandidate} from './target-candidate.js';
import type {LeasedSlot} from './leased-slot.js';
import type {TargetHealth} from './target-health.js';
import type {QueuedTask} from './queued-task.js';

/** Used for targets without a slot count in the instance list. */
const defaultSlotCount = 8;

type TargetState = {
	instance: Instance;
	/** False if the instance list shows the target as leaving, or no longer contains it. */
	isOpen: boolean;
	/** Slots withheld because a previous arbiter may have leased them. */
	quarantined: number;
	readonly held: Map<TicketId, LeasedSlot>;
	readonly heldBy: Map<MemberId, number>;
	usedMemoryMegabytes: number;
	usedAccelerators: number;
	/** Tasks assigned to this target by early binding. */
	readonly bound: QueuedTask[];
};

/** A leased slot is freed only by its release, the expiry of its lease, or the target's usage report. */
export class SlotTable {
	readonly #targets = new Map<InstanceId, TargetState>();
	readonly #held = new Map<TicketId, LeasedSlot>();
	/** Number of running tasks by job and rack. */
	readonly #jobRacks = new Map<string, number>();

	constructor(private readonly health: TargetHealth) {}

	get targets(): readonly Instance[] {
		return [...this.#targets.values()].filter(state => state.isOpen).map(state => state.instance);
	}

	get leasedSlots(): readonly LeasedSlot[] {
		return [...this.#held.values()];
	}

	/** Free slots of the targets that accept work. */
	get freeSlots(): number {
		let free = 0;
		for (const state of this.#targets.values()) {
			free += state.isOpen ? Math.max(0, freeSlotsOf(state)) : 0;
		}

		return free;
	}

	/** All slots of the targets that accept work. */
	get totalSlots(): number {
		let slots = 0;
		for (const state of this.#targets.values()) {
			slots += state.isOpen ? slotCountOf(state) : 0;
		}

		return slots;
	}

	setTargets(instances: readonly Instance[]): void {
		const listed = new Map(instances.map(instance => [instance.id, instance]));
		for (const [id, state] of this.#targets) {
			state.isOpen = listed.get(id)?.state === 'live';
			if (!listed.has(id) && state.held.size === 0) {
				this.#targets.delete(id);
			}
		}

		for (const instance of instances) {
			this.#setTarget(instance);
		}

		this.health.retain(new Set(this.#targets.keys()));
	}

	slotOf(ticket: TicketId): LeasedSlot | undefined {
		return this.#held.get(ticket);
	}

	lease(slot: LeasedSlot): void {
		this.free(slot.ticket);
		this.#held.set(slot.ticket, slot);
		const state = this.#targets.get(slot.target);
		if (state !== undefined) {
			state.held.set(slot.ticket, slot);
			this.#updateCounts(state, slot, 1);
		}
	}

	free(ticket: TicketId): LeasedSlot | undefined {
		const slot = this.#held.get(ticket);
		if (slot === undefined) {
			return undefined;
		}

		this.#held.delete(ticket);
		const state = this.#targets.get(slot.target);
		if (state?.held.delete(ticket)) {
			this.#updateCounts(state, slot, -1);
		}

		return slot;
	}

	/**
	 * Marks the slots of a requester that is gone; they stay leased until their leases expire or the target reports
	 * that the tasks have ended.
	 */
	orphan(requester: MemberId): void {
		for (const slot of this.#held.values()) {
			slot.isOrphaned ||= slot.requester === requester;
		}
	}

	bind(ticket: QueuedTask, target: InstanceId): void {
		this.#targets.get(target)?.bound.push(ticket);
	}

	/** Takes the next task that is bound to a target with a free slot. */
	takeBound(): {readonly ticket: QueuedTask; readonly instance: Instance} | undefined {
		for (const state of this.#targets.values()) {
			while (state.bound[0]?.isRemoved === true) {
				state.bound.shift();
			}

			if (state.bound.length > 0 && freeSlotsOf(state) > 0) {
				return {ticket: state.bound.shift()!, instance: state.instance};
			}
		}

		return undefined;
	}

	/** Quarantines all slots of all targets that aren't leased. */
	quarantineUnaccounted(): void {
		for (const state of this.#targets.values()) {
			state.quarantined = Math.max(0, slotCountOf(state) - state.held.size);
		}
	}

	/** Reduces the quarantine of a target to the running tasks that have no known lease. */
	setQuarantinedSlots(target: InstanceId, unaccounted: number): void {
		const state = this.#targets.get(target);
		if (state !== undefined) {
			state.quarantined = unaccounted;
		}
	}

	get quarantinedTargets(): readonly Instance[] {
		return [...this.#targets.values()].filter(state => state.quarantined > 0).map(state => state.instance);
	}

	/** Whether any open target meets the task's requirements, regardless of its load. */
	isPlaceable(ticket: Pick<QueuedTask, 'task'>): boolean {
		return [...this.#targets.values()].some(state => state.isOpen && meetsRequirements(state.instance, ticket));
	}

	/** Targets that can run a task now; with `hasSlot`, only those with a free slot. */
	candidatesFor(ticket: QueuedTask, hasSlot: boolean, now: number): readonly TargetCandidate[] {
		const candidates: TargetCandidate[] = [];
		for (const state of this.#targets.values()) {
			if (!state.isOpen || (hasSlot && freeSlotsOf(state) <= 0) || !meetsRequirements(state.instance, ticket) || !hasCapacity(state, ticket)) {
				continue;
			}

			const condition = this.health.condition(state.instance.id, now);
			if (condition !== 'out') {
				candidates.push(this.#candidate(state, ticket, condition));
			}
		}

		return candidates;
	}

	#candidate(state: TargetState, ticket: QueuedTask, condition: TargetCandidate['condition']): TargetCandidate {
		const bound = state.bound.filter(waiting => !waiting.isRemoved);
		const boundByRequester = bound.filter(waiting => waiting.requester === ticket.requester).length;
		return {
			instance: state.instance,
			freeSlots: freeSlotsOf(state),
			slots: slotCountOf(state),
			heldByRequester: (state.heldBy.get(ticket.requester) ?? 0) + boundByRequester,
			boundTasks: bound.length,
			jobTasksInRack: this.#jobRacks.get(jobRackKey(ticket.request.job, state.instance)) ?? 0,
			condition,
		};
	}

	/** Adds a slot to the running counts, or subtracts it. */
	#updateCounts(state: TargetState, slot: LeasedSlot, sign: 1 | -1): void {
		state.usedMemoryMegabytes += sign * slot.memoryMegabytes;
		state.usedAccelerators += sign * slot.accelerators;
		addTo(state.heldBy, slot.requester, sign);
		addTo(this.#jobRacks, jobRackKey(slot.job, state.instance), sign);
	}

	#setTarget(instance: Instance): void {
		const state = this.#targets.get(instance.id);
		if (state === undefined) {
			this.#targets.set(instance.id, {
				instance, isOpen: instance.state === 'live', quarantined: 0, held: new Map(), heldBy: new Map(), usedMemoryMegabytes: 0, usedAccelerators: 0, bound: [],
			});
			return;
		}

		state.instance = instance;
	}
}

function slotCountOf(state: TargetState): number {
	return state.instance.slots ?? defaultSlotCount;
}

function freeSlotsOf(state: TargetState): number {
	return slotCountOf(state) - state.held.size - state.quarantined;
}

function meetsRequirements(instance: Instance, {task}: Pick<QueuedTask, 'task'>): boolean {
	const labels = instance.labels ?? [];
	return task.labels.every(label => labels.includes(label))
		&& !task.avoided.some(label => labels.includes(label))
		&& !task.excluded.includes(instance.id)
		&& task.memoryMegabytes <= (instance.memoryMegabytes ?? Number.POSITIVE_INFINITY)
		&& task.accelerators <= (instance.accelerators ?? 0);
}

/** Whether the target's remaining memory and accelerators suffice. */
function hasCapacity(state: TargetState, {task}: QueuedTask): boolean {
	return task.memoryMegabytes + state.usedMemoryMegabytes <= (state.instance.memoryMegabytes ?? Number.POSITIVE_INFINITY)
		&& (task.accelerators === 0 || task.accelerators + state.usedAccelerators <= (state.instance.accelerators ?? 0));
}

function jobRackKey(job: SubmissionId, instance: Instance): string {
	return `${job}|${instance.rack ?? ''}`;
}

function addTo<Key>(counts: Map<Key, number>, key: Key, count: number): void {
	const sum = (counts.get(key) ?? 0) + count;
	if (sum === 0) {
		counts.delete(key);
	} else {
		counts.set(key, sum);
	}
}
