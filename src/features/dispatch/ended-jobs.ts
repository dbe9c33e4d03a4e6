/** Task states of recently ended jobs, kept for resubmissions. */
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskState} from './task-state.js';

/** Longer than the resubmission delay of callers and than the period in which a reconnecting entry repeats reports. */
const retentionMilliseconds = 10_000;

type EndedJob = {readonly tasks: readonly TaskState[]; readonly endedAt: number};

/**
 * A resubmitted job reuses its task ids while earlier runs may still be ending. Without their attempts and owners, a late
 * report would be attributed to a new run, and the task could run twice at once.
 */
export class EndedJobs {
	readonly #jobs = new Map<JobId, EndedJob>();

	/**
	 * Keeps the tasks of an ended job. Runs still in progress are marked as handed over at `now`, so that they count as ended
	 * once their lease has expired without a report.
	 */
	add(id: JobId, tasks: readonly TaskState[], now: number): void {
		this.#evictExpired(now);
		for (const state of tasks) {
			if (state.owner !== undefined) {
				state.handedOverAt ??= now;
			}
		}

		this.#jobs.delete(id);
		this.#jobs.set(id, {tasks, endedAt: now});
	}

	/** Removes and returns the current task states of a resubmitted job. */
	take(id: JobId): readonly TaskState[] | undefined {
		const job = this.#jobs.get(id);
		this.#jobs.delete(id);
		return job?.tasks;
	}

	tasksOwnedBy(owner: MemberId): readonly TaskState[] {
		return [...this.#jobs.values()].flatMap(({tasks}) => tasks.filter(state => state.owner === owner));
	}

	/** Whether runs of an ended job may go on that nobody has reported the end of; those were released after the given time, or go on. */
	hasRuns(id: JobId, releasedAfter: number): boolean {
		return this.#jobs.get(id)?.tasks.some(({owner, handedOverAt}) => owner !== undefined && (handedOverAt ?? Number.POSITIVE_INFINITY) >= releasedAfter) ?? false;
	}

	find(id: JobId, task: string): TaskState | undefined {
		return this.#jobs.get(id)?.tasks.find(state => state.id === task);
	}

	/** Iterates in insertion order, oldest first. */
	#evictExpired(now: number): void {
		for (const [id, {endedAt}] of this.#jobs) {
			if (now - endedAt < retentionMilliseconds) {
				return;
			}

			this.#jobs.delete(id);
		}
	}
}
