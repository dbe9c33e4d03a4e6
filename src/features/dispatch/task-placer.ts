/** Placement of waiting tasks. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {RunRequest} from '../execution/run-request.js';
import type {Pool} from '../pool/pool.js';
import {availableRemoteTargets} from './available-remote-targets.js';
import {chooseRemoteTarget} from './choose-remote-target.js';
import type {QueueOrder} from './queue-order.js';
import type {RemoteTarget} from './remote-target.js';
import {requestOf} from './request-of.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** Jobs that could not be placed before a pass stops and waits for the next change of capacity. */
const maximumMisses = 6;

/** Dependencies of `TaskPlacer`. */
type TaskPlacerDependencies = {
	readonly zone: AvailabilityZone;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly order: QueueOrder;
	readonly random: Random;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Places tasks on local and remote targets with free capacity, in queue order. */
export class TaskPlacer {
	constructor(private readonly dependencies: TaskPlacerDependencies) {}

	/** Runs a placement pass; returns whether no task is left waiting. */
	placeAll(jobs: Iterable<RunningJob>): boolean {
		const {executor, pool, order, clock} = this.dependencies;
		const now = clock.now();
		const waiting: RunningJob[] = [];
		let leastCpuMillis = Number.POSITIVE_INFINITY;
		for (const job of jobs) {
			if (job.hasWaiting) {
				waiting.push(job);
				leastCpuMillis = Math.min(leastCpuMillis, job.job.shape.need.cpuMillis);
			}
		}

		if (waiting.length === 0) {
			return true;
		}

		const available = availableRemoteTargets(pool, leastCpuMillis);
		if (available.length === 0 && executor.largestFreeCpuMillis < leastCpuMillis) {
			// Most passes of an overloaded fleet end here.
			return false;
		}

		const ranked = waiting.map(job => ({job, rank: order.rank(job, now)}));
		ranked.sort((left, right) => left.rank - right.rank);
		let misses = 0;
		for (const {job} of ranked) {
			misses += this.#placeTasks(job, available) ? 0 : 1;
			if (misses >= maximumMisses) {
				break;
			}
		}

		return misses === 0;
	}

	#placeTasks(job: RunningJob, available: readonly RemoteTarget[]): boolean {
		return job.waiting.every(state => this.#place(job, state, available));
	}

	/** Places one task, preferring targets near its data and local targets; returns false if it has to wait. */
	#place(job: RunningJob, state: TaskState, available: readonly RemoteTarget[]): boolean {
		const {executor} = this.dependencies;
		if (executor.isRunning(state.id)) {
			// The task still runs here for a lost entry, and is being stopped after the caller resubmitted it.
			return false;
		}

		const request = requestOf(job, state);
		if (request.place.nearLabel === undefined) {
			return this.#start(job, state, request, available);
		}

		return this.#start(job, state, {...request, requiresNearData: true}, available) || (job.isLocalityRelaxed && this.#start(job, state, request, available));
	}

	#start(job: RunningJob, state: TaskState, request: RunRequest, available: readonly RemoteTarget[]): boolean {
		const {zone, executor, pool, random} = this.dependencies;
		if (executor.start(request, pool.self) !== undefined) {
			recordStart(job, state, pool.self);
			return true;
		}

		const choice = chooseRemoteTarget(available, request, zone, random);
		if (choice === undefined) {
			return false;
		}

		this.#send(request, choice);
		recordStart(job, state, choice.member.member.id);
		return true;
	}

	#send(request: RunRequest, {member, target}: RemoteTarget): void {
		const {pool, clock, journal} = this.dependencies;
		target.room = target.room.minus(request.need);
		pool.send(member.member.id, {kind: 'run', request});
		journal.record('taskSent', {
			task: request.task, attempt: request.attempt, owner: member.member.id, heardAgoMilliseconds: Math.round(clock.now() - member.heardAt),
		});
	}
}

function recordStart(job: RunningJob, state: TaskState, owner: MemberId): void {
	job.possibleStarts += 1;
	state.owner = owner;
}
