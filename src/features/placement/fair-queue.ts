/** Queue of the waiting tasks of a zone. */
import {JobQueue} from './job-queue.js';
import type {QueuedTask} from './queued-task.js';

/** Queued tasks with the same profile and the same requirements on targets. */
type Flow = {
	readonly profile: string;
	readonly weight: number;
	readonly jobs: JobQueue;
	/** Served work divided by the weight; the flow with the lowest value is served next. */
	virtualTime: number;
	/** Expected run time of the queued tasks. */
	backlogMilliseconds: number;
	waiting: number;
};

/**
 * Weighted fair queueing: under load, each profile receives slots in proportion to its weight. A flow that was empty
 * starts at the lowest virtual time of the backlogged flows, so that idle time earns no credit.
 */
export class FairQueue {
	readonly #flows = new Map<string, Flow>();
	#waiting = 0;

	get length(): number {
		return this.#waiting;
	}

	push(ticket: QueuedTask): void {
		const flow = this.#flowOf(ticket);
		if (flow.waiting === 0) {
			flow.virtualTime = Math.max(flow.virtualTime, this.#minimumVirtualTime());
		}

		flow.jobs.push(ticket);
		flow.waiting += 1;
		flow.backlogMilliseconds += ticket.expectedMilliseconds;
		this.#waiting += 1;
	}

	/** Marks a task as removed and updates the counts; the entry itself is dropped lazily. */
	remove(ticket: QueuedTask): void {
		if (ticket.isRemoved) {
			return;
		}

		ticket.isRemoved = true;
		this.#subtract(this.#flowOf(ticket), ticket);
	}

	/**
	 * Takes the next task that `accepts` returns true for. Offers one task per flow, in fair order, so that a flow
	 * whose next task has no target doesn't block the others.
	 */
	takeNext(now: number, accepts: (ticket: QueuedTask) => boolean): QueuedTask | undefined {
		const backlogged = [...this.#flows.values()].filter(flow => flow.waiting > 0);
		backlogged.sort((left, right) => left.virtualTime - right.virtualTime);
		for (const flow of backlogged) {
			const ticket = flow.jobs.peek(now);
			if (ticket !== undefined && accepts(ticket)) {
				flow.jobs.shift(now);
				ticket.isRemoved = true;
				this.#subtract(flow, ticket);
				flow.virtualTime += ticket.expectedMilliseconds / flow.weight;
				return ticket;
			}
		}

		return undefined;
	}

	waitingTasks(profile: string): number {
		let waiting = 0;
		for (const flow of this.#flows.values()) {
			waiting += flow.profile === profile ? flow.waiting : 0;
		}

		return waiting;
	}

	/**
	 * Work served before work added now to the profile would complete, in milliseconds on one slot: the profile's own
	 * backlog, the added work, and what other profiles receive in the meantime.
	 */
	workUntilServed(profile: string, weight: number, addedMilliseconds: number): number {
		let own = addedMilliseconds;
		let others = 0;
		for (const flow of this.#flows.values()) {
			if (flow.profile === profile) {
				own += flow.backlogMilliseconds;
			}
		}

		for (const flow of this.#flows.values()) {
			// Meanwhile, another flow receives at most its weighted share of the slots.
			if (flow.profile !== profile) {
				others += Math.min(flow.backlogMilliseconds, own * flow.weight / weight);
			}
		}

		return own + others;
	}

	#subtract(flow: Flow, ticket: QueuedTask): void {
		flow.waiting -= 1;
		flow.backlogMilliseconds = flow.waiting === 0 ? 0 : flow.backlogMilliseconds - ticket.expectedMilliseconds;
		this.#waiting -= 1;
	}

	#flowOf(ticket: QueuedTask): Flow {
		const {request, task} = ticket;
		const key = [ticket.partition, request.profile, request.weight, task.memoryMegabytes, task.accelerators, task.labels.join('+'), task.avoided.join('+')].join('|');
		const existing = this.#flows.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const flow: Flow = {
			profile: request.profile, weight: request.weight, jobs: new JobQueue(), virtualTime: 0, backlogMilliseconds: 0, waiting: 0,
		};
		this.#flows.set(key, flow);
		return flow;
	}

	#minimumVirtualTime(): number {
		let minimum = Number.POSITIVE_INFINITY;
		for (const flow of this.#flows.values()) {
			if (flow.waiting > 0) {
				minimum = Math.min(minimum, flow.virtualTime);
			}
		}

		return Number.isFinite(minimum) ? minimum : 0;
	}
}
