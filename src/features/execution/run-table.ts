/** The runs on one target. */
import type {JobId} from '../../base/job-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {Resources} from '../../base/resources.js';
import type {RunCounts} from './run-counts.js';
import type {Run} from './run.js';
import {runKeyOf} from './run-key-of.js';

type RunIdentity = {readonly task: string; readonly attempt: number};

/** All runs that use capacity of the target, indexed by attempt. Caches the free capacity between changes. */
export class RunTable implements Iterable<Run> {
	/** Whether the target has rejected a start for lack of capacity since its last report. */
	isFull = false;
	readonly #runs = new Map<string, Run>();
	#freeCapacity: Resources | undefined;

	constructor(private capacity: Resources, private readonly runCounts: RunCounts) {}

	get size(): number {
		return this.#runs.size;
	}

	/** The target's capacity minus the needs of its runs; negative after the capacity has shrunk. */
	get freeCapacity(): Resources {
		this.#freeCapacity ??= this.#computeFreeCapacity();
		return this.#freeCapacity;
	}

	[Symbol.iterator](): Iterator<Run> {
		return this.#runs.values();
	}

	/** Sets the capacity. A changed capacity clears `isFull`. */
	resize(capacity: Resources): void {
		this.isFull &&= capacity.equals(this.capacity);
		this.capacity = capacity;
		this.#freeCapacity = undefined;
	}

	get(identity: RunIdentity): Run | undefined {
		return this.#runs.get(runKeyOf(identity));
	}

	/** Whether the table contains this object, and not another run of the same attempt. */
	has(run: Run): boolean {
		return this.get(run.request) === run;
	}

	countRunsOfJob(job: JobId): number {
		return [...this.#runs.values()].filter(({request}) => jobOfTask(request.task) === job).length;
	}

	add(run: Run): void {
		const key = runKeyOf(run.request);
		if (!this.#runs.has(key)) {
			this.runCounts.add(run.request.task);
		}

		this.#runs.set(key, run);
		this.#freeCapacity = undefined;
	}

	remove(run: Run): void {
		this.#freeCapacity = undefined;
		if (this.#runs.delete(runKeyOf(run.request))) {
			this.runCounts.remove(run.request.task);
		}
	}

	#computeFreeCapacity(): Resources {
		let freeCapacity = this.capacity;
		for (const run of this.#runs.values()) {
			freeCapacity = freeCapacity.minus(run.request.need);
		}

		return freeCapacity;
	}
}
