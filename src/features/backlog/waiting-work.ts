/** The work that waits at this entry. */
import type {JobId} from '../../base/job-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';
import type {QueueBacklog} from './queue-backlog.js';
import type {WaitingJob} from './waiting-job.js';

/** `jobs` is in the order in which the jobs began to wait. */
type Group = {tasks: number; cpuMillis: number; coreMilliseconds: number; readonly jobs: Map<JobId, WaitingJob>};
type Sums = Omit<Group, 'jobs'>;
type Queue = {readonly queue: ProfileName; readonly service: ServiceName; readonly begun: Group; readonly unstarted: Group};

/**
 * Keeps sums by queue, which change with each job, since they are read for each report. Only late jobs, which don't count, are
 * looked for when the sums are read: they are first in their queue, as far as its jobs have similar objectives.
 */
export class WaitingWork {
	readonly #queues = new Map<ProfileName, Queue>();

	/** Sets how many tasks of a job wait. */
	set(id: JobId, job: WaitingJob): void {
		const queue = this.#queueOf(job);
		remove(job.hasBegun ? queue.unstarted : queue.begun, id);
		replace(job.hasBegun ? queue.begun : queue.unstarted, id, job);
		if (queue.begun.jobs.size + queue.unstarted.jobs.size === 0) {
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
			queue, service, begun: createGroup(), unstarted: createGroup(),
		};
		this.#queues.set(queue, known);
		return known;
	}
}

function createGroup(): Group {
	return {
		tasks: 0, cpuMillis: 0, coreMilliseconds: 0, jobs: new Map(),
	};
}

function remove(group: Group, id: JobId): void {
	const known = group.jobs.get(id);
	if (known !== undefined) {
		group.jobs.delete(id);
		add(group, known, -1);
	}
}

function replace(group: Group, id: JobId, job: WaitingJob): void {
	const known = group.jobs.get(id);
	if (job.waitingTasks === 0) {
		remove(group, id);
		return;
	}

	if (known !== undefined) {
		add(group, known, -1);
	}

	group.jobs.set(id, job);
	add(group, job, 1);
}

function add(sums: Sums, {cpuMillis, expectedMilliseconds, waitingTasks}: WaitingJob, sign: 1 | -1): void {
	const waitingCpuMillis = sign * waitingTasks * cpuMillis;
	sums.tasks += sign * waitingTasks;
	sums.cpuMillis += waitingCpuMillis;
	sums.coreMilliseconds += waitingCpuMillis * expectedMilliseconds / 1000;
}

function backlogOf(queue: Queue, now: number): QueueBacklog | undefined {
	const [begun, unstarted] = [withoutLate(queue.begun, now), withoutLate(queue.unstarted, now)];
	return begun.tasks + unstarted.tasks === 0
		? undefined
		: {
			queue: queue.queue,
			tasks: begun.tasks + unstarted.tasks,
			cpuMillis: begun.cpuMillis + unstarted.cpuMillis,
			coreMilliseconds: begun.coreMilliseconds + unstarted.coreMilliseconds,
			begunTasks: begun.tasks,
			begunCoreMilliseconds: begun.coreMilliseconds,
			oldestMilliseconds: unstarted.first === undefined ? 0 : now - unstarted.first.receivedAt,
			laxityMilliseconds: unstarted.first === undefined ? 0 : unstarted.first.weightedStart - now,
		};
}

function withoutLate({tasks, cpuMillis, coreMilliseconds, jobs}: Group, now: number): Sums & {readonly first: WaitingJob | undefined} {
	const sums = {tasks, cpuMillis, coreMilliseconds};
	for (const job of jobs.values()) {
		if (job.latestStart >= now) {
			// Sums of fractions may differ from zero when no job is left.
			return {...sums, coreMilliseconds: Math.max(0, sums.coreMilliseconds), first: job};
		}

		add(sums, job, -1);
	}

	return {
		tasks: 0, cpuMillis: 0, coreMilliseconds: 0, first: undefined,
	};
}
