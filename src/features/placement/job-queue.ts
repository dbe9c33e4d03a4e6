/** The waiting jobs of a lane. */
import type {SubmissionId} from '../../base/submission-id.js';
import type {QueuedTask} from './queued-task.js';

type QueuedJob = {
	readonly id: SubmissionId;
	readonly urgentAt: number;
	readonly tickets: QueuedTask[];
	head: number;
	served: number;
	isDone: boolean;
};

/** A job that has waited for this share of its time goes first, whatever it got already. */
const urgentShare = 0.5;

/**
 * The job that has got the fewest slots so far is next, among equals the one that came first. A job of one task doesn't
 * wait behind two hundred tasks of another; the large job hardly notices the few small ones that pass it. A job that has
 * used up half of its time goes before all others, so that under overload what was begun is finished.
 */
export class JobQueue {
	/** Jobs by the number of slots that they got. */
	readonly #levels: QueuedJob[][] = [];
	/** In the order of their coming; those that are done are dropped when they come first. */
	readonly #arrivals: QueuedJob[] = [];
	readonly #jobs = new Map<SubmissionId, QueuedJob>();

	push(ticket: QueuedTask): void {
		const {job} = ticket.request;
		const known = this.#jobs.get(job);
		if (known !== undefined) {
			known.tickets.push(ticket);
			return;
		}

		const queued: QueuedJob = {
			id: job,
			urgentAt: ticket.arrivedAt + ((ticket.deadlineAt - ticket.arrivedAt) * urgentShare),
			tickets: [ticket],
			head: 0,
			served: 0,
			isDone: false,
		};
		this.#jobs.set(job, queued);
		this.#arrivals.push(queued);
		this.#enter(queued);
	}

	/** The next ticket, without taking it. */
	first(now: number): QueuedTask | undefined {
		const job = this.#firstJob(now);
		return job?.tickets[job.head];
	}

	/** Drops the ticket that `first` returns. */
	takeFirst(now: number): void {
		const job = this.#firstJob(now);
		if (job === undefined) {
			return;
		}

		const level = this.#levels[job.served]!;
		level.splice(level.indexOf(job), 1);
		job.head += 1;
		job.served += 1;
		this.#skipGone(job);
		if (job.head < job.tickets.length) {
			this.#enter(job);
		} else {
			this.#forget(job);
		}
	}

	#forget(job: QueuedJob): void {
		job.isDone = true;
		this.#jobs.delete(job.id);
	}

	#enter(job: QueuedJob): void {
		while (this.#levels.length <= job.served) {
			this.#levels.push([]);
		}

		this.#levels[job.served]!.push(job);
	}

	#firstJob(now: number): QueuedJob | undefined {
		return this.#urgentJob(now) ?? this.#leastServedJob();
	}

	/** The job that came first of those that have waited for long. */
	#urgentJob(now: number): QueuedJob | undefined {
		for (let job = this.#arrivals[0]; job !== undefined; job = this.#arrivals[0]) {
			this.#skipGone(job);
			if (!job.isDone && job.head < job.tickets.length) {
				return job.urgentAt <= now ? job : undefined;
			}

			this.#arrivals.shift();
		}

		return undefined;
	}

	#leastServedJob(): QueuedJob | undefined {
		for (const level of this.#levels) {
			for (let job = level[0]; job !== undefined; job = level[0]) {
				this.#skipGone(job);
				if (job.head < job.tickets.length) {
					return job;
				}

				level.shift();
				this.#forget(job);
			}
		}

		return undefined;
	}

	#skipGone(job: QueuedJob): void {
		while (job.tickets[job.head]?.isGone === true) {
			job.head += 1;
		}
	}
}
