/** Tasks that wait for a slot. */
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
	readonly policy: PlacementPolicy;
	readonly clock: Clock;
	readonly random: Random;
	readonly queue: FairQueue;
	readonly slotTable: SlotTable;
	readonly runTimes: RunTimes;
	readonly requesters: Requesters;
};

/**
 * With late binding, keeps tasks in the fair queue until a slot is free; with early binding, assigns each task to a
 * target on arrival.
 */
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

	/** Tasks whose deadline has passed. */
	expired(now: number): readonly QueuedTask[] {
		return [...this.#tickets.values()].filter(ticket => now >= ticket.deadlineAt);
	}

	add(requester: MemberId, request: Want, task: Want['tasks'][number]): void {
		const {policy, clock, random, queue, slotTable, runTimes, requesters} = this.parts;
		const now = clock.now();
		const expectedMilliseconds = runTimes.mean(request.profile, task.declaredMilliseconds);
		const deadlineAt = now + request.remainingMilliseconds;
		const partition = policy.partitionOf(requester);
		const ticket: QueuedTask = {
			requester, request, task, partition, arrivedAt: now, deadlineAt, expectedMilliseconds, isRemoved: false,
		};
		this.#tickets.set(task.ticket, ticket);
		if (policy.binding === 'late') {
			queue.push(ticket);
			return;
		}

		const target = policy.choose(slotTable.candidatesFor(ticket, false, now), requesters.size, random);
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
		if (this.parts.policy.binding === 'late') {
			this.parts.queue.remove(ticket);
		}

		ticket.isRemoved = true;
	}

	/** Takes the next task that a free slot can serve, with its target; undefined if there is none. */
	takeNext(): {readonly ticket: QueuedTask; readonly instance: Instance} | undefined {
		const next = this.parts.policy.binding === 'late' ? this.#takeQueued() : this.#takeBound();
		if (next !== undefined) {
			this.#tickets.delete(next.ticket.task.ticket);
		}

		return next;
	}

	#takeQueued(): {readonly ticket: QueuedTask; readonly instance: Instance} | undefined {
		const {policy, clock, random, queue, slotTable, requesters} = this.parts;
		const now = clock.now();
		let chosen: Instance | undefined;
		const ticket = queue.takeNext(now, head => {
			if (!requesters.isActive(head.requester)) {
				return false;
			}

			const candidates = slotTable.candidatesFor(head, true, now);
			chosen = policy.choose(candidates, requesters.size, random)?.instance;
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
