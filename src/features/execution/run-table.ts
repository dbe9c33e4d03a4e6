/** The runs on one target. */
import type {JobId} from '../../base/job-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {Resources} from '../../base/resources.js';
import type {TaskId} from '../../base/task-id.js';
import {runKeyOf} from './run-key-of.js';
import type {Run} from './run.js';

type RunName = {readonly task: string; readonly attempt: number};

/** All runs that hold room on the target, found by name and by task; what they leave is worked out once for each change. */
export class RunTable implements Iterable<Run> {
	/** The target has rejected a start for want of room, and has told nothing new since. */
	isFull = false;
	readonly #runs = new Map<string, Run>();
	/** How many attempts of each task are among the runs. */
	readonly #attempts = new Map<TaskId, number>();
	#room: Resources | undefined;

	constructor(private capacity: Resources) {}

	get size(): number {
		return this.#runs.size;
	}

	/** What is left of the target's capacity. */
	get room(): Resources {
		this.#room ??= this.#roomLeft();
		return this.#room;
	}

	[Symbol.iterator](): Iterator<Run> {
		return this.#runs.values();
	}

	/** Takes another capacity; what the target said of the former one doesn't hold for it. */
	resize(capacity: Resources): void {
		this.isFull &&= capacity.equals(this.capacity);
		this.capacity = capacity;
		this.#room = undefined;
	}

	named(name: RunName): Run | undefined {
		return this.#runs.get(runKeyOf(name));
	}

	/** Whether it's this very run that goes by its name. */
	holds(run: Run): boolean {
		return this.named(run.request) === run;
	}

	hasRunOf(task: TaskId): boolean {
		return this.#attempts.has(task);
	}

	countOfJob(job: JobId): number {
		return [...this.#runs.values()].filter(({request}) => jobOfTask(request.task) === job).length;
	}

	add(run: Run): void {
		const {task} = run.request;
		this.#runs.set(runKeyOf(run.request), run);
		this.#attempts.set(task, (this.#attempts.get(task) ?? 0) + 1);
		this.#room = undefined;
	}

	remove(run: Run): void {
		const {task} = run.request;
		const others = (this.#attempts.get(task) ?? 0) - 1;
		this.#runs.delete(runKeyOf(run.request));
		this.#room = undefined;
		if (others > 0) {
			this.#attempts.set(task, others);
		} else {
			this.#attempts.delete(task);
		}
	}

	#roomLeft(): Resources {
		let room = this.capacity;
		for (const run of this.#runs.values()) {
			room = room.minus(run.request.need);
		}

		return room;
	}
}
