/** The runs of each task on all targets of this entry. */
import type {TaskId} from '../../base/task-id.js';

/** Counts the runs by task, so that a task can be looked up without a search of all targets. */
export class RunCounts {
	readonly #counts = new Map<TaskId, number>();

	has(task: TaskId): boolean {
		return this.#counts.has(task);
	}

	add(task: TaskId): void {
		this.#counts.set(task, (this.#counts.get(task) ?? 0) + 1);
	}

	remove(task: TaskId): void {
		const others = (this.#counts.get(task) ?? 0) - 1;
		if (others > 0) {
			this.#counts.set(task, others);
		} else {
			this.#counts.delete(task);
		}
	}
}
