/** Running jobs of this entry. */
import type {JobId} from '../../base/job-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';
import {EndedJobs} from './ended-jobs.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** Looks up jobs and tasks by id, and aggregates the demand of waiting tasks. */
export class JobTable implements Iterable<RunningJob> {
	readonly #jobs = new Map<JobId, RunningJob>();
	readonly #ended = new EndedJobs();

	get size(): number {
		return this.#jobs.size;
	}

	/** Number of tasks without a run. */
	get waitingTasks(): number {
		let waiting = 0;
		for (const job of this.#jobs.values()) {
			waiting += job.waitingCount;
		}

		return waiting;
	}

	/** The smallest requirement among waiting tasks, per service; empty if no task waits. */
	get minimumNeeds(): readonly CapacityDemand[] {
		const minimum = new Map<string, CapacityDemand>();
		for (const running of this.#jobs.values()) {
			if (!running.hasWaiting) {
				continue;
			}

			const {service} = running.job.route;
			const {need} = running.job.shape;
			const known = minimum.get(service);
			if (known === undefined || need.cpuMillis < known.need.cpuMillis) {
				minimum.set(service, {service, need});
			}
		}

		return [...minimum.values()];
	}

	/** Owners of the current runs, one item per run. */
	* owners(): Iterable<MemberId> {
		for (const {tasks} of this.#jobs.values()) {
			for (const {owner} of tasks) {
				if (owner !== undefined) {
					yield owner;
				}
			}
		}
	}

	[Symbol.iterator](): Iterator<RunningJob> {
		return this.#jobs.values();
	}

	get(id: JobId): RunningJob | undefined {
		return this.#jobs.get(id);
	}

	add(running: RunningJob): void {
		this.#jobs.set(running.job.id, running);
	}

	/** Removes an ended job; the states of tasks that may have run are kept for a resubmission. */
	remove(running: RunningJob, now: number): void {
		this.#jobs.delete(running.job.id);
		if (running.mayHaveRun) {
			this.#ended.add(running.job.id, running.tasks, now);
		}
	}

	/** Removes and returns the tasks of an ended job that is resubmitted. */
	takeEnded(id: JobId): readonly TaskState[] | undefined {
		return this.#ended.take(id);
	}

	/** Whether runs of a running or ended job may go on. */
	hasRuns(id: JobId, releasedAfter: number): boolean {
		return (this.#jobs.get(id)?.tasks.some(state => state.owner !== undefined) ?? false) || this.#ended.hasRuns(id, releasedAfter);
	}

	/** Tasks of ended jobs that an entry may still be running. */
	endedTasksOwnedBy(owner: MemberId): readonly TaskState[] {
		return this.#ended.tasksOwnedBy(owner);
	}

	findEndedTask(task: string): TaskState | undefined {
		return this.#ended.find(jobOfTask(task), task);
	}

	/** Number of jobs of a queue without a started task. */
	waitingJobsOf(queue: ProfileName): number {
		return [...this.#jobs.values()].filter(({job, mayHaveRun}) => job.route.queue === queue && !mayHaveRun).length;
	}

	findTask(task: string): {readonly job: RunningJob; readonly state: TaskState} | undefined {
		const job = this.#jobs.get(jobOfTask(task));
		const state = job?.tasks.find(candidate => candidate.id === task);
		return job === undefined || state === undefined ? undefined : {job, state};
	}
}
