/** Allocates the target slots of one availability zone. */
import {match} from 'ts-pattern';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetUsage} from '../../runtime/targets/target-usage.js';
import {AdmissionControl} from './admission-control.js';
import {FairQueue} from './fair-queue.js';
import type {LeasedSlot} from './leased-slot.js';
import type {JobRefusal} from './job-refusal.js';
import {SlotLeases} from './slot-leases.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {PlacementReply} from './placement-reply.js';
import type {PlacementRequest} from './placement-request.js';
import {Reconciliation} from './reconciliation.js';
import {Requesters} from './requesters.js';
import {RunTimes} from './run-times.js';
import {SlotRecovery} from './slot-recovery.js';
import {SlotTable} from './slot-table.js';
import {TargetHealth} from './target-health.js';
import type {ElectionMessage} from './election-message.js';
import {QueuedTasks} from './queued-tasks.js';
import type {QueuedTask} from './queued-task.js';

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/** Sends a reply to a requester, which may be this entry itself. */
type ReplySender = (to: MemberId, reply: PlacementReply) => void;

type ArbiterParts = {
	readonly zone: AvailabilityZone;
	readonly policy: PlacementPolicy;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
	readonly sendReply: ReplySender;
	readonly canGrant: () => boolean;
};

/**
 * Receives the slot requests of all entries that send work to the zone, and queues tasks until a slot is free. Acts
 * only on messages and on `tick`, and grants slots only while `canGrant` returns true.
 */
export class Arbiter {
	readonly #slotTable: SlotTable;
	readonly #admission: AdmissionControl;
	readonly #requesters: Requesters;
	readonly #queuedTasks: QueuedTasks;
	readonly #slotLeases: SlotLeases;
	readonly #reconciliation: Reconciliation;
	readonly #slotRecovery: SlotRecovery;

	constructor(private readonly parts: ArbiterParts) {
		const health = new TargetHealth(parts.journal);
		const slotTable = new SlotTable(health);
		const queue = new FairQueue();
		const runTimes = new RunTimes();
		const requesters = new Requesters(parts.clock);
		const shared = {
			...parts, health, slotTable, queue, runTimes, requesters,
		};
		const queuedTasks = new QueuedTasks(shared);
		const slotLeases = new SlotLeases(shared);
		this.#slotTable = slotTable;
		this.#admission = new AdmissionControl(queue, slotTable, runTimes);
		this.#requesters = requesters;
		this.#queuedTasks = queuedTasks;
		this.#slotLeases = slotLeases;
		this.#reconciliation = new Reconciliation({...shared, queuedTasks, slotLeases});
		this.#slotRecovery = new SlotRecovery(slotTable, slotLeases);
	}

	get freeSlots(): number {
		return this.#slotTable.freeSlots;
	}

	get queuedTasks(): number {
		return this.#queuedTasks.size;
	}

	/** All leased slots, for handover to a successor. */
	get leasedSlots(): readonly LeasedSlot[] {
		return this.#slotTable.leasedSlots;
	}

	/** Takes over the slots that the previous arbiter leased. */
	adoptSlots(held: Extract<ElectionMessage, {kind: 'handover'}>['held']): void {
		for (const {requester, ticket, target, profile, endsInMilliseconds} of held) {
			this.#slotLeases.adopt(requester, {ticket, target, profile}, endsInMilliseconds);
		}
	}

	/** Handles a request; `stamp` is the sender's clock at the time of sending. */
	receive(from: MemberId, stamp: number, request: PlacementRequest): void {
		const wasSilent = this.#requesters.recordRequest(from, stamp);
		if (wasSilent) {
			this.#reconciliation.requestInventory(from);
		}

		match(request)
			.with({kind: 'want'}, want => {
				this.#receiveWant(from, want);
			})
			.with({kind: 'release'}, release => {
				this.#slotLeases.release(from, release);
			})
			.with({kind: 'withdraw'}, ({tickets}) => {
				this.#queuedTasks.withdraw(from, tickets);
			})
			.with({kind: 'renew'}, renewal => {
				this.#reconciliation.compareCounts(from, renewal);
			})
			.with({kind: 'inventory'}, inventory => {
				this.#reconciliation.applyInventory(from, inventory);
			})
			.exhaustive();
		this.#placeQueuedTasks();
	}

	setTargets(instances: readonly Instance[]): void {
		this.#slotTable.setTargets(instances.filter(instance => instance.kind === 'target' && instance.zone === this.parts.zone));
		this.#placeQueuedTasks();
	}

	/** Quarantines all slots that aren't known to be leased, since the previous arbiter may have leased them. */
	beginQuarantine(): void {
		this.#slotRecovery.beginQuarantine();
	}

	get quarantinedTargets(): readonly Instance[] {
		return this.#slotRecovery.quarantinedTargets;
	}

	/** Ends the quarantine, once all leases of the previous arbiter have expired. */
	endQuarantine(): void {
		this.#slotRecovery.endQuarantine();
		this.#placeQueuedTasks();
	}

	/** Targets that may still run tasks of entries that are gone. */
	get orphanedTargets(): readonly Instance[] {
		return this.#slotRecovery.orphanedTargets;
	}

	/** Applies the list of running tasks reported by a target. */
	applyUsage(target: InstanceId, usage: TargetUsage): void {
		this.#slotRecovery.applyUsage(target, usage);
		this.#placeQueuedTasks();
	}

	/** Requests an inventory, since grants may have been lost with the connection. */
	requesterReconnected(member: MemberId): void {
		if (this.#requesters.has(member)) {
			this.#reconciliation.requestInventory(member);
		}
	}

	/**
	 * Removes a requester that is gone for good. Its queued tasks are dropped; its slots stay leased until they are
	 * released by the target's report or expire.
	 */
	removeRequester(requester: MemberId): void {
		this.#requesters.remove(requester);
		this.#queuedTasks.removeAll(requester);
		this.#slotTable.orphan(requester);
		this.#placeQueuedTasks();
	}

	/** Expires leases and refuses tasks whose deadline has passed. */
	tick(): void {
		this.#slotLeases.expireLeases();
		// Queued tasks of a silent requester would block others without being granted a slot. The requester keeps its
		// requests and resends them when it's back.
		for (const requester of this.#requesters.takeNewlySilent()) {
			this.#queuedTasks.removeAll(requester);
		}

		for (const ticket of this.#queuedTasks.expired(this.parts.clock.now())) {
			this.#refuseExpired(ticket);
		}

		this.#placeQueuedTasks();
	}

	#receiveWant(from: MemberId, want: Want): void {
		const isNew = want.tasks.some(task => !this.#isKnown(task.ticket));
		if (!want.isAdmitted && isNew) {
			const refusal = this.#admission.refusalOf(want, this.parts.clock.now());
			if (refusal !== undefined) {
				this.#refuse(from, want.tasks.map(task => task.ticket), refusal);
				return;
			}
		}

		for (const task of want.tasks) {
			if (!this.#isKnown(task.ticket)) {
				this.#queuedTasks.add(from, want, task);
			}
		}
	}

	#isKnown(ticket: TicketId): boolean {
		return this.#queuedTasks.has(ticket) || this.#slotTable.slotOf(ticket) !== undefined;
	}

	/** Grants slots until none is free or no queued task can use one. */
	#placeQueuedTasks(): void {
		const grants = new Map<MemberId, Array<Extract<PlacementReply, {kind: 'granted'}>['grants'][number]>>();
		while (this.parts.canGrant()) {
			const next = this.#queuedTasks.takeNext();
			if (next === undefined) {
				break;
			}

			const {ticket, instance} = next;
			this.#slotLeases.grant(ticket, instance);
			const list = grants.get(ticket.requester) ?? [];
			grants.set(ticket.requester, list);
			list.push({ticket: ticket.task.ticket, target: {id: instance.id, address: instance.address}});
		}

		for (const [requester, list] of grants) {
			this.parts.sendReply(requester, {kind: 'granted', echo: this.#requesters.lastStampOf(requester), grants: list});
		}
	}

	#refuseExpired(ticket: QueuedTask): void {
		this.#queuedTasks.remove(ticket);
		this.#refuse(ticket.requester, [ticket.task.ticket], {cause: 'deadlineUnreachable', detail: 'the deadline passed while the task waited for a slot', retryAfterMilliseconds: 1000});
	}

	#refuse(to: MemberId, tickets: readonly TicketId[], refusal: JobRefusal): void {
		this.parts.journal.record('wishRefused', {
			tickets: tickets.length, first: tickets[0], cause: refusal.cause, requester: to,
		});
		this.parts.sendReply(to, {kind: 'refused', tickets: [...tickets], ...refusal});
	}
}
