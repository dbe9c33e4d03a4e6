/** The waiting tasks of a zone. */
import {JobQueue} from './job-queue.js';
import type {QueuedTask} from './queued-task.js';

/** Tasks of one profile that the same targets can take. */
type Lane = {
	readonly profile: string;
	readonly weight: number;
	readonly jobs: JobQueue;
	/** Work that the lane was given, divided by its weight: the lane with the least is next. */
	servedTime: number;
	/** Work that waits, in milliseconds. */
	backlogMilliseconds: number;
	waiting: number;
};

/**
 * Weighted fair queueing over lanes: under load each profile gets slots by its weight, whatever another one sends.
 * A lane that was empty starts level with the busy ones, so that silence saves nothing up.
 */
export class FairQueue {
	readonly #lanes = new Map<string, Lane>();
	#waiting = 0;

	get length(): number {
		return this.#waiting;
	}

	push(ticket: QueuedTask): void {
		const lane = this.#laneOf(ticket);
		if (lane.waiting === 0) {
			lane.servedTime = Math.max(lane.servedTime, this.#leastServedTime());
		}

		lane.jobs.push(ticket);
		lane.waiting += 1;
		lane.backlogMilliseconds += ticket.expectedMilliseconds;
		this.#waiting += 1;
	}

	/** Marks a wish as gone; its place in the queue is dropped later, its weight at once. */
	remove(ticket: QueuedTask): void {
		if (ticket.isGone) {
			return;
		}

		ticket.isGone = true;
		this.#discount(this.#laneOf(ticket), ticket);
	}

	/**
	 * Takes the next ticket that the visitor accepts. It's asked once for each lane, in the order of fairness: a lane
	 * whose next task has no target waits without holding up the others.
	 */
	takeNext(now: number, accepts: (ticket: QueuedTask) => boolean): QueuedTask | undefined {
		const busy = [...this.#lanes.values()].filter(lane => lane.waiting > 0);
		busy.sort((left, right) => left.servedTime - right.servedTime);
		for (const lane of busy) {
			const ticket = lane.jobs.first(now);
			if (ticket !== undefined && accepts(ticket)) {
				lane.jobs.takeFirst(now);
				ticket.isGone = true;
				this.#discount(lane, ticket);
				lane.servedTime += ticket.expectedMilliseconds / lane.weight;
				return ticket;
			}
		}

		return undefined;
	}

	waitingOf(profile: string): number {
		let waiting = 0;
		for (const lane of this.#lanes.values()) {
			waiting += lane.profile === profile ? lane.waiting : 0;
		}

		return waiting;
	}

	/**
	 * Work that is served until work added to the profile's lane now would have been, in milliseconds of one slot each:
	 * the lane's own with the added, and what other lanes get meanwhile.
	 */
	workUntilServed(profile: string, weight: number, addedMilliseconds: number): number {
		let own = addedMilliseconds;
		let others = 0;
		for (const lane of this.#lanes.values()) {
			if (lane.profile === profile) {
				own += lane.backlogMilliseconds;
			}
		}

		for (const lane of this.#lanes.values()) {
			// While the profile's own backlog is served, another lane gets its weight's share of the slots at most.
			if (lane.profile !== profile) {
				others += Math.min(lane.backlogMilliseconds, own * lane.weight / weight);
			}
		}

		return own + others;
	}

	#discount(lane: Lane, ticket: QueuedTask): void {
		lane.waiting -= 1;
		lane.backlogMilliseconds = lane.waiting === 0 ? 0 : lane.backlogMilliseconds - ticket.expectedMilliseconds;
		this.#waiting -= 1;
	}

	#laneOf(ticket: QueuedTask): Lane {
		const {request, task} = ticket;
		const key = [ticket.partition, request.profile, request.weight, task.memoryMegabytes, task.accelerators, task.labels.join('+'), task.avoided.join('+')].join('|');
		const known = this.#lanes.get(key);
		if (known !== undefined) {
			return known;
		}

		const lane: Lane = {
			profile: request.profile, weight: request.weight, jobs: new JobQueue(), servedTime: 0, backlogMilliseconds: 0, waiting: 0,
		};
		this.#lanes.set(key, lane);
		return lane;
	}

	#leastServedTime(): number {
		let least = Number.POSITIVE_INFINITY;
		for (const lane of this.#lanes.values()) {
			if (lane.waiting > 0) {
				least = Math.min(least, lane.servedTime);
			}
		}

		return Number.isFinite(least) ? least : 0;
	}
}
