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
import {Admission} from './admission.js';
import {FairQueue} from './fair-queue.js';
import type {HeldSlot} from './held-slot.js';
import type {JobRefusal} from './job-refusal.js';
import type {Placement} from './placement.js';
import type {PlacementReply} from './placement-reply.js';
import type {PlacementRequest} from './placement-request.js';
import {RunTimes} from './run-times.js';
import {SlotLedger} from './slot-ledger.js';
import {TargetHealth} from './target-health.js';
import {taskIdOf} from './task-id-of.js';
import type {TenureMessage} from './tenure-message.js';
import type {WaitingTicket} from './waiting-ticket.js';

/** A requester that wasn't heard for so long gets no slot: it may be paused, and others wait. */
const requesterSilenceMilliseconds = 1000;
/** What a target may take beyond a task's limit to stop it, and a grant to reach its requester. */
const leaseMarginMilliseconds = 1500;
/** A slot that the requester's inventory doesn't name is free when it was lent this long before. */
const unclaimedMilliseconds = 1500;

type Want = Extract<PlacementRequest, {kind: 'want'}>;
type Inventory = Extract<PlacementRequest, {kind: 'inventory'}>;
type Requester = {stamp: number; heardAt: number; mismatches: number; isAsleep: boolean};

/** Sends a reply to a requester, which may be this entry itself. */
type Outbox = (to: MemberId, reply: PlacementReply) => void;

/** What an arbiter works with. */
type ArbiterParts = {
	readonly zone: AvailabilityZone;
	readonly placement: Placement;
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
	readonly #queue = new FairQueue();
	readonly #health: TargetHealth;
	readonly #ledger: SlotLedger;
	readonly #runTimes = new RunTimes();
	readonly #admission: Admission;
	readonly #requesters = new Map<MemberId, Requester>();
	readonly #waiting = new Map<TicketId, WaitingTicket>();

	constructor(private readonly parts: ArbiterParts) {
		this.#health = new TargetHealth(parts.journal);
		this.#ledger = new SlotLedger(this.#health);
		this.#admission = new Admission(this.#queue, this.#ledger, this.#runTimes);
	}

	get freeSlots(): number {
		return this.#ledger.freeSlots;
	}

	get waiting(): number {
		return this.#waiting.size;
	}

	/** All slots that are lent, for a successor. */
	get lentSlots(): readonly HeldSlot[] {
		return this.#ledger.held;
	}

	/** Takes over what a predecessor lent. */
	adoptAll(held: Extract<TenureMessage, {kind: 'handover'}>['held']): void {
		const now = this.parts.clock.now();
		for (const {requester, ticket, target, profile, endsInMilliseconds} of held) {
			this.#adopt(requester, {ticket, target, profile}, now, endsInMilliseconds);
		}
	}

	/** Takes a request with the time that its sender's own clock showed when it was sent. */
	receive(from: MemberId, stamp: number, request: PlacementRequest): void {
		this.#heard(from, stamp);
		match(request)
			.with({kind: 'want'}, want => {
				this.#want(from, want);
			})
			.with({kind: 'release'}, ({ticket, outcome, runMilliseconds}) => {
				this.#release(from, ticket, outcome, runMilliseconds);
			})
			.with({kind: 'withdraw'}, ({tickets}) => {
				this.#withdraw(from, tickets);
			})
			.with({kind: 'renew'}, ({held, waiting}) => {
				this.#compareCounts(from, held, waiting);
			})
			.with({kind: 'inventory'}, inventory => {
				this.#takeInventory(from, inventory);
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
		this.#ledger.quarantineUnaccounted();
	}

	get quarantinedTargets(): readonly Instance[] {
		return this.#ledger.quarantinedTargets;
	}

	/** Ends all quarantine: every lease of the former arbiter has ended by now. */
	endQuarantine(): void {
		for (const {id} of this.#ledger.quarantinedTargets) {
			this.#ledger.setQuarantine(id, 0);
		}

		this.#place();
	}

	/** Targets that run tasks of entries that are gone. */
	get orphanedTargets(): readonly Instance[] {
		const ids = new Set(this.#ledger.held.filter(slot => slot.isOrphaned).map(slot => slot.target));
		return this.#ledger.targets.filter(target => ids.has(target.id));
	}

	/** Takes a target's own word on what it runs. */
	takeUsage(target: InstanceId, usage: TargetUsage): void {
		const running = new Set(usage.running);
		const now = this.parts.clock.now();
		for (const slot of this.#ledger.held) {
			const isOld = now - slot.grantedAt > unclaimedMilliseconds + usage.lagMilliseconds;
			if (slot.target === target && slot.isOrphaned && isOld && !running.has(taskIdOf(slot.ticket))) {
				this.#ledger.free(slot.ticket);
			}
		}

		const accounted = new Set(this.#ledger.held.filter(slot => slot.target === target).map(slot => taskIdOf(slot.ticket)));
		if (this.#ledger.quarantinedTargets.some(({id}) => id === target)) {
			this.#ledger.setQuarantine(target, usage.running.filter(task => !accounted.has(task)).length);
		}

		this.#place();
	}

	/** Grants may have been lost with the connection: the requester is asked what it has. */
	requesterReconnected(member: MemberId): void {
		if (this.#requesters.has(member)) {
			this.parts.outbox(member, {kind: 'recount', zone: this.parts.zone});
		}
	}

	/** A requester is gone for good: what it waits for is dropped, what it held stays taken until it has surely ended. */
	forget(requester: MemberId): void {
		this.#requesters.delete(requester);
		this.#dropAll(requester);

		this.#ledger.orphan(requester);
		this.#place();
	}

	/** Ends leases, and refuses what can't make its deadline any more. */
	tick(): void {
		const now = this.parts.clock.now();
		for (const slot of this.#ledger.held) {
			if (now > slot.leaseEndsAt) {
				this.parts.journal.record('leaseEnded', {ticket: slot.ticket, target: slot.target, requester: slot.requester});
				this.#ledger.free(slot.ticket);
				this.#cancelProbe(slot);
			}
		}

		this.#setAsideSilent(now);
		for (const ticket of this.#waiting.values()) {
			if (now >= ticket.deadlineAt) {
				this.#refuseLate(ticket);
			}
		}

		this.#place();
	}

	#heard(from: MemberId, stamp: number): void {
		const requester = this.#requesters.get(from) ?? {
			stamp, heardAt: 0, mismatches: 0, isAsleep: false,
		};
		this.#requesters.set(from, requester);
		requester.stamp = Math.max(requester.stamp, stamp);
		requester.heardAt = this.parts.clock.now();
		if (requester.isAsleep) {
			requester.isAsleep = false;
			this.parts.outbox(from, {kind: 'recount', zone: this.parts.zone});
		}
	}

	/**
	 * The wishes of a requester that fell silent would stand before those of others and get nothing. They are dropped, and
	 * asked for again when it's heard: the requester keeps them.
	 */
	#setAsideSilent(now: number): void {
		for (const [member, requester] of this.#requesters) {
			if (!requester.isAsleep && now - requester.heardAt >= requesterSilenceMilliseconds) {
				requester.isAsleep = true;
				this.#dropAll(member);
			}
		}
	}

	#dropAll(requester: MemberId): void {
		for (const ticket of this.#waiting.values()) {
			if (ticket.requester === requester) {
				this.#drop(ticket);
			}
		}
	}

	#want(from: MemberId, want: Want): void {
		const now = this.parts.clock.now();
		const isNew = want.tasks.some(task => !this.#isKnown(task.ticket));
		if (!want.isAdmitted && isNew) {
			const refusal = this.#admission.refusalOf(want, now);
			if (refusal !== undefined) {
				this.#refuse(from, want.tasks.map(task => task.ticket), refusal);
				return;
			}
		}

		for (const task of want.tasks) {
			if (!this.#isKnown(task.ticket)) {
				this.#enqueue(from, want, task, now);
			}
		}
	}

	#isKnown(ticket: TicketId): boolean {
		return this.#waiting.has(ticket) || this.#ledger.slotOf(ticket) !== undefined;
	}

	#enqueue(requester: MemberId, request: Want, task: Want['tasks'][number], now: number): void {
		const expectedMilliseconds = this.#runTimes.mean(request.profile, task.declaredMilliseconds);
		const deadlineAt = now + request.remainingMilliseconds;
		const partition = this.parts.placement.partitionOf(requester);
		const ticket: WaitingTicket = {
			requester, request, task, partition, arrivedAt: now, deadlineAt, expectedMilliseconds, isGone: false,
		};
		this.#waiting.set(task.ticket, ticket);
		if (this.parts.placement.binding === 'late') {
			this.#queue.push(ticket);
			return;
		}

		const target = this.parts.placement.choose(this.#ledger.candidatesFor(ticket, false, now), this.#requesters.size, this.parts.random);
		if (target !== undefined) {
			this.#ledger.bind(ticket, target.instance.id);
		}
	}

	#release(from: MemberId, ticket: TicketId, outcome: Extract<PlacementRequest, {kind: 'release'}>['outcome'], runMilliseconds: number): void {
		const slot = this.#ledger.slotOf(ticket);
		if (slot?.requester !== from || slot.isOrphaned) {
			return;
		}

		// A connection that broke says nothing of the task: its slot is free when the target says so, or the lease ends.
		if (outcome === 'lost') {
			slot.isOrphaned = true;
		} else {
			this.#ledger.free(ticket);
		}

		if (outcome === 'unused') {
			this.#cancelProbe(slot);
			return;
		}

		const now = this.parts.clock.now();
		const expected = this.#runTimes.mean(slot.profile, runMilliseconds);
		this.#health.report({
			target: slot.target, profile: slot.profile, outcome, runMilliseconds, expectedMilliseconds: expected,
		}, now);
		if (outcome === 'result') {
			this.#runTimes.record(slot.profile, runMilliseconds);
		}
	}

	#cancelProbe(slot: HeldSlot): void {
		this.#health.cancelProbe(slot.target);
	}

	#withdraw(from: MemberId, tickets: readonly TicketId[]): void {
		for (const id of tickets) {
			const ticket = this.#waiting.get(id);
			if (ticket?.requester === from) {
				this.#drop(ticket);
			}
		}
	}

	#drop(ticket: WaitingTicket): void {
		this.#waiting.delete(ticket.task.ticket);
		if (this.parts.placement.binding === 'late') {
			this.#queue.remove(ticket);
		}

		ticket.isGone = true;
	}

	/**
	 * A grant or a release that was lost on the way leaves the two sides with different counts. Counts that differ
	 * because a message is under way agree again soon; those that stay different are settled by an inventory.
	 */
	#compareCounts(from: MemberId, held: number, waiting: number): void {
		const requester = this.#requesters.get(from)!;
		const ownHeld = this.#ledger.held.filter(slot => slot.requester === from && !slot.isOrphaned).length;
		const ownWaiting = [...this.#waiting.values()].filter(ticket => ticket.requester === from).length;
		requester.mismatches = ownHeld === held && ownWaiting === waiting ? 0 : requester.mismatches + 1;
		if (requester.mismatches >= 2) {
			requester.mismatches = 0;
			this.parts.outbox(from, {kind: 'recount', zone: this.parts.zone});
		}
	}

	#takeInventory(from: MemberId, inventory: Inventory): void {
		const now = this.parts.clock.now();
		const named = new Set(inventory.held.map(slot => slot.ticket));
		for (const slot of this.#ledger.held) {
			if (slot.requester === from && !named.has(slot.ticket) && now - slot.grantedAt > unclaimedMilliseconds) {
				this.#ledger.free(slot.ticket);
				this.#cancelProbe(slot);
			}
		}

		for (const {ticket, target, profile, endsInMilliseconds} of inventory.held) {
			if (this.#ledger.slotOf(ticket) === undefined) {
				this.#adopt(from, {ticket, target, profile}, now, endsInMilliseconds);
			}
		}

		this.#compareWaiting(from, inventory.waiting);
	}

	#adopt(requester: MemberId, slot: Pick<HeldSlot, 'ticket' | 'target' | 'profile'>, now: number, endsInMilliseconds: number): void {
		this.#ledger.lend({
			...slot,
			requester,
			job: taskIdOf(slot.ticket).split('/')[0] as HeldSlot['job'],
			grantedAt: now,
			leaseEndsAt: now + endsInMilliseconds + leaseMarginMilliseconds,
			memoryMegabytes: 0,
			accelerators: 0,
			isOrphaned: false,
		});
	}

	#compareWaiting(from: MemberId, tickets: readonly TicketId[]): void {
		const named = new Set(tickets);
		for (const ticket of this.#waiting.values()) {
			if (ticket.requester === from && !named.has(ticket.task.ticket)) {
				this.#drop(ticket);
			}
		}

		const unknown = tickets.filter(ticket => !this.#isKnown(ticket));
		if (unknown.length > 0) {
			this.parts.outbox(from, {kind: 'unknown', tickets: unknown});
		}
	}

	/** Lends free slots until there are none, or nobody waits who can use one. */
	#place(): void {
		const grants = new Map<MemberId, Array<Extract<PlacementReply, {kind: 'granted'}>['grants'][number]>>();
		while (this.parts.mayGrant()) {
			const placed = this.parts.placement.binding === 'late' ? this.#placeLate() : this.#placeBound();
			if (placed === undefined) {
				break;
			}

			const {ticket, instance} = placed;
			this.#lend(ticket, instance);
			const list = grants.get(ticket.requester) ?? [];
			grants.set(ticket.requester, list);
			list.push({ticket: ticket.task.ticket, target: {id: instance.id, address: instance.address}});
		}

		for (const [requester, list] of grants) {
			this.parts.outbox(requester, {kind: 'granted', echo: this.#requesters.get(requester)?.stamp ?? 0, grants: list});
		}
	}

	#placeLate(): {readonly ticket: WaitingTicket; readonly instance: Instance} | undefined {
		const now = this.parts.clock.now();
		let chosen: Instance | undefined;
		const ticket = this.#queue.takeNext(now, head => {
			if (!this.#isAwake(head.requester, now)) {
				return false;
			}

			const candidates = this.#ledger.candidatesFor(head, true, now);
			chosen = this.parts.placement.choose(candidates, this.#requesters.size, this.parts.random)?.instance;
			return chosen !== undefined;
		});
		return ticket === undefined || chosen === undefined ? undefined : {ticket, instance: chosen};
	}

	#placeBound(): {readonly ticket: WaitingTicket; readonly instance: Instance} | undefined {
		const bound = this.#ledger.takeBound();
		if (bound !== undefined) {
			bound.ticket.isGone = true;
		}

		return bound;
	}

	#isAwake(member: MemberId, now: number): boolean {
		const requester = this.#requesters.get(member);
		return requester !== undefined && now - requester.heardAt < requesterSilenceMilliseconds;
	}

	#lend(ticket: WaitingTicket, instance: Instance): void {
		const now = this.parts.clock.now();
		const {request, task, requester} = ticket;
		this.#waiting.delete(task.ticket);
		this.#ledger.lend({
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
		const condition = this.#health.condition(instance.id, now);
		if (condition === 'probe') {
			this.#health.beginProbe(instance.id);
		}

		this.parts.journal.record('slotLent', {
			ticket: task.ticket, target: instance.id, requester, profile: request.profile, waitedMilliseconds: Math.round(now - ticket.arrivedAt), condition,
		});
	}

	#refuseLate(ticket: WaitingTicket): void {
		this.#drop(ticket);
		this.#refuse(ticket.requester, [ticket.task.ticket], {cause: 'deadlineUnreachable', detail: 'the deadline passed while the task waited for a slot', retryAfterMilliseconds: 1000});
	}

	#refuse(to: MemberId, tickets: readonly TicketId[], refusal: JobRefusal): void {
		this.parts.journal.record('wishRefused', {
			tickets: tickets.length, first: tickets[0], cause: refusal.cause, requester: to,
		});
		this.parts.outbox(to, {kind: 'refused', tickets: [...tickets], ...refusal});
	}
}
