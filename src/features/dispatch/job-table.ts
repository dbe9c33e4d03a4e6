/** The jobs of this entry, from submission to answer. */
import type {JobId} from '../../base/job-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {CapacityDemand} from '../execution/capacity-demand.js';
import {EndedJobs} from './ended-jobs.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** Finds jobs and tasks by name, and sums up what they wait for. */
export class JobTable implements Iterable<RunningJob> {
	readonly #jobs = new Map<JobId, RunningJob>();
	readonly #former = new EndedJobs();

	get size(): number {
		return this.#jobs.size;
	}

	get waitingTasks(): number {
		let waiting = 0;
		for (const job of this.#jobs.values()) {
			waiting += job.waiting.length;
		}

		return waiting;
	}

	/** The least that a waiting task of each service needs; empty where none waits. */
	get minimumNeeds(): readonly CapacityDemand[] {
		const least = new Map<string, CapacityDemand>();
		for (const running of this.#jobs.values()) {
			const {service} = running.job.route;
			const {need} = running.job.shape;
			const known = least.get(service);
			if (running.hasWaiting && (known === undefined || need.cpuMillis < known.need.cpuMillis)) {
				least.set(service, {service, need});
			}
		}

		return [...least.values()];
	}

	/** Entries that run tasks of this one's jobs. */
	* owners(): Iterable<MemberId> {
		for (const {tasks: slots} of this.#jobs.values()) {
			for (const {owner} of slots) {
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

	/** A job that is over; what may still run of it is kept for the case that it's submitted again. */
	remove(running: RunningJob, now: number): void {
		this.#jobs.delete(running.job.id);
		if (running.mayHaveRun) {
			this.#former.add(running.job.id, running.tasks, now);
		}
	}

	/** The tasks of a job that was over here and is submitted again. */
	takeEnded(id: JobId): readonly TaskState[] | undefined {
		return this.#former.take(id);
	}

	/** Tasks of jobs that are over which an entry may still run. */
	endedTasksOwnedBy(owner: MemberId): readonly TaskState[] {
		return this.#former.tasksOwnedBy(owner);
	}

	findEndedTask(task: string): TaskState | undefined {
		return this.#former.find(jobOfTask(task), task);
	}

	/** Jobs of a queue of which no task was started. */
	waitingJobsOf(queue: ProfileName): number {
		return [...this.#jobs.values()].filter(({job, mayHaveRun}) => job.route.queue === queue && !mayHaveRun).length;
	}

	findTask(task: string): {readonly job: RunningJob; readonly slot: TaskState} | undefined {
		const job = this.#jobs.get(jobOfTask(task));
		const slot = job?.tasks.find(candidate => candidate.id === task);
		return job === undefined || slot === undefined ? undefined : {job, slot};
	}
}
