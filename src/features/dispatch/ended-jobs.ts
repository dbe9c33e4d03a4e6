/** Tasks of jobs that are over here, for the case that they are submitted again. */
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskState} from './task-state.js';

/**
 * How long they are kept: above the time after which a caller submits again, and above the time for which a report of a run
 * may be repeated after a lost connection.
 */
const keptMilliseconds = 10_000;

type EndedJob = {readonly slots: readonly TaskState[]; readonly endedAt: number};

/**
 * A job that is submitted again has the same task names. Its runs of before may still be ending: without their attempts and
 * owners, their late reports would be taken for those of new runs, and a task would run twice at a time.
 */
export class EndedJobs {
	readonly #former = new Map<JobId, EndedJob>();

	/**
	 * Keeps a job's tasks. Runs that are still under way count as handed over to nobody from now on: if nothing is heard of
	 * them, they have ended with their lease.
	 */
	add(id: JobId, slots: readonly TaskState[], now: number): void {
		this.#forgetOld(now);
		for (const slot of slots) {
			if (slot.owner !== undefined) {
				slot.handedOverAt ??= now;
			}
		}

		this.#former.delete(id);
		this.#former.set(id, {slots, endedAt: now});
	}

	/** The tasks of a job that is submitted again, with what has happened to them since; they aren't kept any longer. */
	take(id: JobId): readonly TaskState[] | undefined {
		const former = this.#former.get(id);
		this.#former.delete(id);
		return former?.slots;
	}

	tasksOwnedBy(owner: MemberId): readonly TaskState[] {
		return [...this.#former.values()].flatMap(({slots}) => slots.filter(slot => slot.owner === owner));
	}

	find(id: JobId, task: string): TaskState | undefined {
		return this.#former.get(id)?.slots.find(slot => slot.id === task);
	}

	/** Insertion order is age. */
	#forgetOld(now: number): void {
		for (const [id, {endedAt}] of this.#former) {
			if (now - endedAt < keptMilliseconds) {
				return;
			}

			this.#former.delete(id);
		}
	}
}
