/** The waiting jobs of a lane. */
import type {SubmissionId} from '../../base/submission-id.js';
import type {WaitingTicket} from './waiting-ticket.js';

type QueuedJob = {readonly id: SubmissionId; readonly tickets: WaitingTicket[]; head: number; served: number};

/**
 * The job that has got the fewest slots so far is next, among equals the one that came first. A job of one task doesn't
 * wait behind two hundred tasks of another; the large job hardly notices the few small ones that pass it.
 */
export class JobLevels {
	/** Jobs by the number of slots that they got. */
	readonly #levels: QueuedJob[][] = [];
	readonly #jobs = new Map<SubmissionId, QueuedJob>();

	push(ticket: WaitingTicket): void {
		const {job} = ticket.request;
		const known = this.#jobs.get(job);
		if (known !== undefined) {
			known.tickets.push(ticket);
			return;
		}

		const queued: QueuedJob = {
			id: job, tickets: [ticket], head: 0, served: 0,
		};
		this.#jobs.set(job, queued);
		this.#enter(queued);
	}

	/** The next ticket, without taking it. */
	first(): WaitingTicket | undefined {
		const job = this.#firstJob();
		return job?.tickets[job.head];
	}

	/** Drops the ticket that `first` returns. */
	takeFirst(): void {
		const job = this.#firstJob();
		if (job === undefined) {
			return;
		}

		this.#levels[job.served]!.shift();
		job.head += 1;
		job.served += 1;
		this.#skipGone(job);
		if (job.head < job.tickets.length) {
			this.#enter(job);
		} else {
			this.#jobs.delete(job.id);
		}
	}

	#enter(job: QueuedJob): void {
		while (this.#levels.length <= job.served) {
			this.#levels.push([]);
		}

		this.#levels[job.served]!.push(job);
	}

	#firstJob(): QueuedJob | undefined {
		for (const level of this.#levels) {
			for (let job = level[0]; job !== undefined; job = level[0]) {
				this.#skipGone(job);
				if (job.head < job.tickets.length) {
					return job;
				}

				level.shift();
				this.#jobs.delete(job.id);
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
