/** The work that waits at this entry. */
import type {JobId} from '../../base/job-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';
import type {QueueBacklog} from './queue-backlog.js';
import type {WaitingJob} from './waiting-job.js';

type Sums = {tasks: number; cpuMillis: number; coreMilliseconds: number};

/** `jobs` is in the order in which the jobs began to wait. */
type Queue = Sums & {readonly queue: ProfileName; readonly service: ServiceName; readonly jobs: Map<JobId, WaitingJob>};

/**
 * Keeps sums by queue, which change with each job, since they are read for each report. Only late jobs, which don't count, are
 * looked for when the sums are read: they are first in their queue, as far as its jobs have similar objectives.
 */
export class WaitingWork {
	readonly #queues = new Map<ProfileName, Queue>();

	/** Sets how many tasks of a job wait. */
	set(id: JobId, job: WaitingJob): void {
		const queue = this.#queueOf(job);
		const known = queue.jobs.get(id);
		if (known !== undefined) {
			add(queue, known, -1);
		}

		if (job.waitingTasks === 0) {
			queue.jobs.delete(id);
		} else {
			queue.jobs.set(id, job);
			add(queue, job, 1);
		}

		if (queue.jobs.size === 0) {
			this.#queues.delete(job.queue);
		}
	}

	/** The waiting work of each queue of a service, without late jobs. */
	queuesOf(service: ServiceName, now: number): readonly QueueBacklog[] {
		const backlogs: QueueBacklog[] = [];
		for (const queue of this.#queues.values()) {
			const backlog = queue.service === service ? backlogOf(queue, now) : undefined;
			if (backlog !== undefined) {
				backlogs.push(backlog);
			}
		}

		return backlogs;
	}

	/** The services with waiting jobs. */
	get services(): ReadonlySet<ServiceName> {
		return new Set([...this.#queues.values()].map(({service}) => service));
	}

	#queueOf({queue, service}: WaitingJob): Queue {
		const known = this.#queues.get(queue) ?? {
			queue, service, tasks: 0, cpuMillis: 0, coreMilliseconds: 0, jobs: new Map<JobId, WaitingJob>(),
		};
		this.#queues.set(queue, known);
		return known;
	}
}

function add(sums: Sums, {cpuMillis, expectedMilliseconds, waitingTasks}: WaitingJob, sign: 1 | -1): void {
	const waitingCpuMillis = sign * waitingTasks * cpuMillis;
	sums.tasks += sign * waitingTasks;
	sums.cpuMillis += waitingCpuMillis;
	sums.coreMilliseconds += waitingCpuMillis * expectedMilliseconds / 1000;
}

function backlogOf({queue, tasks, cpuMillis, coreMilliseconds, jobs}: Queue, now: number): QueueBacklog | undefined {
	const sums = {tasks, cpuMillis, coreMilliseconds};
	for (const job of jobs.values()) {
		if (job.latestStart >= now) {
			return {
				queue, ...sums, coreMilliseconds: Math.max(0, sums.coreMilliseconds), oldestMilliseconds: now - job.receivedAt, laxityMilliseconds: job.weightedStart - now,
			};
		}

		add(sums, job, -1);
	}

	return undefined;
}
