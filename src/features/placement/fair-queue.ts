/** The waiting tasks of a zone. */
import {JobQueue} from './job-queue.js';
import type {QueuedTask} from './queued-task.js';

/** Tasks of one profile that the same targets can take. */
type Flow = {
	readonly profile: string;
	readonly weight: number;
	readonly jobs: JobQueue;
	/** Work that the flow was given, divided by its weight: the flow with the minimum is next. */
	virtualTime: number;
	/** Work that waits, in milliseconds. */
	backlogMilliseconds: number;
	waiting: number;
};

/**
 * Weighted fair queueing over flows: under load each profile gets slots by its weight, whatever another one sends.
 * A flow that was empty starts level with the backlogged ones, so that silence saves nothing up.
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

	/** Marks a wish as gone; its place in the queue is dropped later, its weight at once. */
	remove(ticket: QueuedTask): void {
		if (ticket.isRemoved) {
			return;
		}

		ticket.isRemoved = true;
		this.#subtract(this.#flowOf(ticket), ticket);
	}

	/**
	 * Takes the next ticket that the visitor accepts. It's asked once for each flow, in the order of fairness: a flow
	 * whose next task has no target waits without holding up the others.
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
	 * Work that is served until work added to the profile's flow now would have been, in milliseconds of one slot each:
	 * the flow's own with the added, and what other flows get meanwhile.
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
			// While the profile's own backlog is served, another flow gets its weight's share of the slots at most.
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
