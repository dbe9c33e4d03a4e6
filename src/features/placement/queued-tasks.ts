/** The wishes that wait for a slot, and which of them is next. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {FairQueue} from './fair-queue.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {PlacementRequest} from './placement-request.js';
import type {Requesters} from './requesters.js';
import type {RunTimes} from './run-times.js';
import type {SlotTable} from './slot-table.js';
import type {QueuedTask} from './queued-task.js';

type Want = Extract<PlacementRequest, {kind: 'want'}>;

type QueuedTasksParts = {
	readonly placement: PlacementPolicy;
	readonly clock: Clock;
	readonly random: Random;
	readonly queue: FairQueue;
	readonly slotTable: SlotTable;
	readonly runTimes: RunTimes;
	readonly requesters: Requesters;
};

/** Late binding keeps wishes in a queue until a slot is free; early binding ties each to a target when it comes. */
export class QueuedTasks {
	readonly #tickets = new Map<TicketId, QueuedTask>();

	constructor(private readonly parts: QueuedTasksParts) {}

	get size(): number {
		return this.#tickets.size;
	}

	has(ticket: TicketId): boolean {
		return this.#tickets.has(ticket);
	}

	ofRequester(requester: MemberId): readonly QueuedTask[] {
		return [...this.#tickets.values()].filter(ticket => ticket.requester === requester);
	}

	/** Those whose deadline has passed. */
	expired(now: number): readonly QueuedTask[] {
		return [...this.#tickets.values()].filter(ticket => now >= ticket.deadlineAt);
	}

	add(requester: MemberId, request: Want, task: Want['tasks'][number]): void {
		const {placement, clock, random, queue, slotTable, runTimes, requesters} = this.parts;
		const now = clock.now();
		const expectedMilliseconds = runTimes.mean(request.profile, task.declaredMilliseconds);
		const deadlineAt = now + request.remainingMilliseconds;
		const partition = placement.partitionOf(requester);
		const ticket: QueuedTask = {
			requester, request, task, partition, arrivedAt: now, deadlineAt, expectedMilliseconds, isRemoved: false,
		};
		this.#tickets.set(task.ticket, ticket);
		if (placement.binding === 'late') {
			queue.push(ticket);
			return;
		}

		const target = placement.choose(slotTable.candidatesFor(ticket, false, now), requesters.size, random);
		if (target !== undefined) {
			slotTable.bind(ticket, target.instance.id);
		}
	}

	withdraw(requester: MemberId, tickets: readonly TicketId[]): void {
		for (const id of tickets) {
			const ticket = this.#tickets.get(id);
			if (ticket?.requester === requester) {
				this.remove(ticket);
			}
		}
	}

	removeAll(requester: MemberId): void {
		for (const ticket of this.ofRequester(requester)) {
			this.remove(ticket);
		}
	}

	remove(ticket: QueuedTask): void {
		this.#tickets.delete(ticket.task.ticket);
		if (this.parts.placement.binding === 'late') {
			this.parts.queue.remove(ticket);
		}

		ticket.isRemoved = true;
	}

	/** Takes the next wish that a free slot suits, with the target; nothing where there's none. */
	takeNext(): {readonly ticket: QueuedTask; readonly instance: Instance} | undefined {
		const next = this.parts.placement.binding === 'late' ? this.#takeQueued() : this.#takeBound();
		if (next !== undefined) {
			this.#tickets.delete(next.ticket.task.ticket);
		}

		return next;
	}

	#takeQueued(): {readonly ticket: QueuedTask; readonly instance: Instance} | undefined {
		const {placement, clock, random, queue, slotTable, requesters} = this.parts;
		const now = clock.now();
		let chosen: Instance | undefined;
		const ticket = queue.takeNext(now, head => {
			if (!requesters.isActive(head.requester)) {
				return false;
			}

			const candidates = slotTable.candidatesFor(head, true, now);
			chosen = placement.choose(candidates, requesters.size, random)?.instance;
			return chosen !== undefined;
		});
		return ticket === undefined || chosen === undefined ? undefined : {ticket, instance: chosen};
	}

	#takeBound(): {readonly ticket: QueuedTask; readonly instance: Instance} | undefined {
		const bound = this.parts.slotTable.takeBound();
		if (bound !== undefined) {
			bound.ticket.isRemoved = true;
		}

		return bound;
	}
}
