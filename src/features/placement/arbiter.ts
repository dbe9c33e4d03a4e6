/** Lends the slots of one availability zone. */
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
type Outbox = (to: MemberId, reply: PlacementReply) => void;

type ArbiterParts = {
	readonly zone: AvailabilityZone;
	readonly placement: PlacementPolicy;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
	readonly outbox: Outbox;
	readonly mayGrant: () => boolean;
};

/**
 * All entries that send work to the zone ask this one for slots; tasks wait in its queue until a slot is free. It acts
 * only on messages and on `tick`, and only while `mayGrant` says so.
 */
export class Arbiter {
	readonly #ledger: SlotTable;
	readonly #admission: AdmissionControl;
	readonly #requesters: Requesters;
	readonly #waiting: QueuedTasks;
	readonly #lending: SlotLeases;
	readonly #reconciliation: Reconciliation;
	readonly #audit: SlotRecovery;

	constructor(private readonly parts: ArbiterParts) {
		const health = new TargetHealth(parts.journal);
		const ledger = new SlotTable(health);
		const queue = new FairQueue();
		const runTimes = new RunTimes();
		const requesters = new Requesters(parts.clock);
		const shared = {
			...parts, health, ledger, queue, runTimes, requesters,
		};
		const waiting = new QueuedTasks(shared);
		const lending = new SlotLeases(shared);
		this.#ledger = ledger;
		this.#admission = new AdmissionControl(queue, ledger, runTimes);
		this.#requesters = requesters;
		this.#waiting = waiting;
		this.#lending = lending;
		this.#reconciliation = new Reconciliation({...shared, waiting, lending});
		this.#audit = new SlotRecovery(ledger, lending);
	}

	get freeSlots(): number {
		return this.#ledger.freeSlots;
	}

	get queuedTasks(): number {
		return this.#waiting.size;
	}

	/** All slots that are lent, for a successor. */
	get lentSlots(): readonly LeasedSlot[] {
		return this.#ledger.held;
	}

	/** Takes over what a predecessor lent. */
	adoptAll(held: Extract<ElectionMessage, {kind: 'handover'}>['held']): void {
		for (const {requester, ticket, target, profile, endsInMilliseconds} of held) {
			this.#lending.adopt(requester, {ticket, target, profile}, endsInMilliseconds);
		}
	}

	/** Takes a request with the time that its sender's own clock showed when it was sent. */
	receive(from: MemberId, stamp: number, request: PlacementRequest): void {
		const wasAsleep = this.#requesters.heard(from, stamp);
		if (wasAsleep) {
			this.#reconciliation.recount(from);
		}

		match(request)
			.with({kind: 'want'}, want => {
				this.#want(from, want);
			})
			.with({kind: 'release'}, release => {
				this.#lending.release(from, release);
			})
			.with({kind: 'withdraw'}, ({tickets}) => {
				this.#waiting.withdraw(from, tickets);
			})
			.with({kind: 'renew'}, renewal => {
				this.#reconciliation.compareCounts(from, renewal);
			})
			.with({kind: 'inventory'}, inventory => {
				this.#reconciliation.takeInventory(from, inventory);
			})
			.exhaustive();
		this.#place();
	}

	setTargets(instances: readonly Instance[]): void {
		this.#ledger.setTargets(instances.filter(instance => instance.kind === 'target' && instance.zone === this.parts.zone));
		this.#place();
	}

	/** Withholds every slot that isn't accounted for, since the former arbiter may have lent it. */
	beginQuarantine(): void {
		this.#audit.beginQuarantine();
	}

	get quarantinedTargets(): readonly Instance[] {
		return this.#audit.quarantinedTargets;
	}

	/** Ends all quarantine: every lease of the former arbiter has ended by now. */
	endQuarantine(): void {
		this.#audit.endQuarantine();
		this.#place();
	}

	/** Targets that run tasks of entries that are gone. */
	get orphanedTargets(): readonly Instance[] {
		return this.#audit.orphanedTargets;
	}

	/** Takes a target's own word on what it runs. */
	takeUsage(target: InstanceId, usage: TargetUsage): void {
		this.#audit.takeUsage(target, usage);
		this.#place();
	}

	/** Grants may have been lost with the connection: the requester is asked what it has. */
	requesterReconnected(member: MemberId): void {
		if (this.#requesters.has(member)) {
			this.#reconciliation.recount(member);
		}
	}

	/** A requester is gone for good: what it waits for is dropped, what it held stays taken until it has surely ended. */
	forget(requester: MemberId): void {
		this.#requesters.forget(requester);
		this.#waiting.dropAll(requester);
		this.#ledger.orphan(requester);
		this.#place();
	}

	/** Ends leases, and refuses what can't make its deadline any more. */
	tick(): void {
		this.#lending.endLeases();
		// The wishes of a requester that fell silent would stand before those of others and get nothing. They are dropped,
		// and asked for again when it's heard: the requester keeps them.
		for (const requester of this.#requesters.takeSilent()) {
			this.#waiting.dropAll(requester);
		}

		for (const ticket of this.#waiting.late(this.parts.clock.now())) {
			this.#refuseLate(ticket);
		}

		this.#place();
	}

	#want(from: MemberId, want: Want): void {
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
				this.#waiting.add(from, want, task);
			}
		}
	}

	#isKnown(ticket: TicketId): boolean {
		return this.#waiting.has(ticket) || this.#ledger.slotOf(ticket) !== undefined;
	}

	/** Lends free slots until there are none, or nobody waits who can use one. */
	#place(): void {
		const grants = new Map<MemberId, Array<Extract<PlacementReply, {kind: 'granted'}>['grants'][number]>>();
		while (this.parts.mayGrant()) {
			const next = this.#waiting.takeNext();
			if (next === undefined) {
				break;
			}

			const {ticket, instance} = next;
			this.#lending.lend(ticket, instance);
			const list = grants.get(ticket.requester) ?? [];
			grants.set(ticket.requester, list);
			list.push({ticket: ticket.task.ticket, target: {id: instance.id, address: instance.address}});
		}

		for (const [requester, list] of grants) {
			this.parts.outbox(requester, {kind: 'granted', echo: this.#requesters.stampOf(requester), grants: list});
		}
	}

	#refuseLate(ticket: QueuedTask): void {
		this.#waiting.drop(ticket);
		this.#refuse(ticket.requester, [ticket.task.ticket], {cause: 'deadlineUnreachable', detail: 'the deadline passed while the task waited for a slot', retryAfterMilliseconds: 1000});
	}

	#refuse(to: MemberId, tickets: readonly TicketId[], refusal: JobRefusal): void {
		this.parts.journal.record('wishRefused', {
			tickets: tickets.length, first: tickets[0], cause: refusal.cause, requester: to,
		});
		this.parts.outbox(to, {kind: 'refused', tickets: [...tickets], ...refusal});
	}
}
