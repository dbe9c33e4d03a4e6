/** Queued jobs of one flow. */
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

/** Share of its time to deadline after which a waiting job takes precedence. */
const urgentAfterShare = 0.5;

/**
 * Serves the job with the fewest served tasks first, then the one that arrived first, so that small jobs don't wait
 * behind large ones. A job that has used up half of its time takes precedence over all others, so that started jobs
 * are completed under overload.
 */
export class JobQueue {
	/** Jobs indexed by the number of their served tasks. */
	readonly #jobsByServedTasks: QueuedJob[][] = [];
	/** Jobs in order of arrival; completed jobs are dropped lazily. */
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

	/** Returns the next task without removing it. */
	peek(now: number): QueuedTask | undefined {
		const job = this.#firstJob(now);
		return job?.tickets[job.head];
	}

	/** Removes the task that `peek` returns. */
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

	/** The earliest job, if it has waited long enough to take precedence. */
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
