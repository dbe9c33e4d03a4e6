/** The waiting jobs of a lane. */
import type {SubmissionId} from '../../base/submission-id.js';
import type {QueuedTask} from './queued-task.js';

type QueuedJob = {
	readonly id: SubmissionId;
	readonly urgentAt: number;
	readonly tickets: QueuedTask[];
	head: number;
	servedTasks: number;
	isDone: boolean;
};

/** A job that has waited for this share of its time goes first, whatever it got already. */
const urgentAfterShare = 0.5;

/**
 * The job that has got the fewest slots so far is next, among equals the one that came first. A job of one task doesn't
 * wait behind two hundred tasks of another; the large job hardly notices the few small ones that pass it. A job that has
 * used up half of its time goes before all others, so that under overload what was begun is finished.
 */
export class JobQueue {
	/** Jobs by the number of slots that they got. */
	readonly #jobsByServedTasks: QueuedJob[][] = [];
	/** In the order of their coming; those that are done are dropped when they come first. */
	readonly #arrivals: QueuedJob[] = [];
	readonly #jobs = new Map<SubmissionId, QueuedJob>();

	push(ticket: QueuedTask): void {
		const {job} = ticket.request;
		const existing = this.#jobs.get(job);
		if (existing !== undefined) {
			existing.tickets.push(ticket);
			return;
		}

		const queued: QueuedJob = {
			id: job,
			urgentAt: ticket.arrivedAt + ((ticket.deadlineAt - ticket.arrivedAt) * urgentAfterShare),
			tickets: [ticket],
			head: 0,
			servedTasks: 0,
			isDone: false,
		};
		this.#jobs.set(job, queued);
		this.#arrivals.push(queued);
		this.#addByServedTasks(queued);
	}

	/** The next ticket, without taking it. */
	peek(now: number): QueuedTask | undefined {
		const job = this.#firstJob(now);
		return job?.tickets[job.head];
	}

	/** Drops the ticket that `first` returns. */
	shift(now: number): void {
		const job = this.#firstJob(now);
		if (job === undefined) {
			return;
		}

		const level = this.#jobsByServedTasks[job.servedTasks]!;
		level.splice(level.indexOf(job), 1);
		job.head += 1;
		job.servedTasks += 1;
		this.#skipRemoved(job);
		if (job.head < job.tickets.length) {
			this.#addByServedTasks(job);
		} else {
			this.#remove(job);
		}
	}

	#remove(job: QueuedJob): void {
		job.isDone = true;
		this.#jobs.delete(job.id);
	}

	#addByServedTasks(job: QueuedJob): void {
		while (this.#jobsByServedTasks.length <= job.servedTasks) {
			this.#jobsByServedTasks.push([]);
		}

		this.#jobsByServedTasks[job.servedTasks]!.push(job);
	}

	#firstJob(now: number): QueuedJob | undefined {
		return this.#urgentJob(now) ?? this.#leastServedJob();
	}

	/** The job that came first of those that have waited for long. */
	#urgentJob(now: number): QueuedJob | undefined {
		for (let job = this.#arrivals[0]; job !== undefined; job = this.#arrivals[0]) {
			this.#skipRemoved(job);
			if (!job.isDone && job.head < job.tickets.length) {
				return job.urgentAt <= now ? job : undefined;
			}

			this.#arrivals.shift();
		}

		return undefined;
	}

	#leastServedJob(): QueuedJob | undefined {
		for (const level of this.#jobsByServedTasks) {
			for (let job = level[0]; job !== undefined; job = level[0]) {
				this.#skipRemoved(job);
				if (job.head < job.tickets.length) {
					return job;
				}

				level.shift();
				this.#remove(job);
			}
		}

		return undefined;
	}

	#skipRemoved(job: QueuedJob): void {
		while (job.tickets[job.head]?.isRemoved === true) {
			job.head += 1;
		}
	}
}
