/** Placement of waiting tasks. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {RunRequest} from '../execution/run-request.js';
import type {Pool} from '../pool/pool.js';
import type {AdmissionForecast} from './admission-forecast.js';
import {availableRemoteTargets} from './available-remote-targets.js';
import {chooseRemoteTarget} from './choose-remote-target.js';
import type {QueueOrder} from './queue-order.js';
import type {RemoteTarget} from './remote-target.js';
import {requestOf} from './request-of.js';
import type {RunningJob} from './running-job.js';
import type {SchedulingSettings} from './scheduling-settings.js';
import {SpeedPlacement} from './speed-placement.js';
import type {TaskState} from './task-state.js';

/** Jobs that could not be placed before a pass stops and waits for the next change of capacity. */
const maximumMisses = 6;
/** Jobs that wait for faster targets don't keep others from those that are free; this bounds the cost of a pass. */
const maximumLaterJobs = 32;

/**
 * After as many refusals by owners, a task may run on any target, in time or not. Further ones would only delay it, and use up the
 * attempts that `attemptStep` in run-results.ts covers. With 1, one refusal by an outdated view makes a long task late on a fleet
 * at half load.
 */
const maximumCapacityRefusals = 2;

/** Dependencies of `TaskPlacer`. */
type TaskPlacerDependencies = {
	readonly zone: AvailabilityZone;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly order: QueueOrder;
	readonly scheduling: SchedulingSettings;
	readonly forecast: AdmissionForecast;
	readonly random: Random;
	readonly clock: Clock;
	readonly journal: Journal;
	/** Schedules a placement pass. */
	readonly schedulePlacement: () => void;
};

/** Places tasks on local and remote targets with free capacity, in queue order. */
export class TaskPlacer implements Disposable {
	/** Defined during a pass, if targets are chosen by their speeds. */
	#speedPlacement: SpeedPlacement | undefined;
	/** Whether the job that is being placed waits for a faster target. */
	#isLater = false;
	/** Milliseconds until the first job of the current pass stops to wait for a faster target. */
	#laterUntil = Number.POSITIVE_INFINITY;
	#laterPass: {readonly at: number; readonly timer: Disposable} | undefined;

	constructor(private readonly dependencies: TaskPlacerDependencies) {}

	/** Runs a placement pass; returns whether no task is left waiting. */
	placeAll(jobs: Iterable<RunningJob>): boolean {
		const {executor, pool, order, clock} = this.dependencies;
		const now = clock.now();
		const waiting: RunningJob[] = [];
		let leastCpuMillis = Number.POSITIVE_INFINITY;
		for (const job of jobs) {
			if (job.hasWaiting && !job.isHeld) {
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
			this.#forgetDeclinedTargets(waiting);
			return false;
		}

		const ranked = waiting.map(job => ({job, rank: order.rank(job, now)}));
		ranked.sort((left, right) => left.rank - right.rank);
		this.#beginPass();
		let misses = 0;
		let laterJobs = 0;
		for (const [index, {job}] of ranked.entries()) {
			this.#isLater = false;
			const isPlaced = this.#placeTasks(job, available);
			misses += isPlaced || this.#isLater ? 0 : 1;
			laterJobs += isPlaced || !this.#isLater ? 0 : 1;
			if (misses >= maximumMisses) {
				this.#forgetDeclinedTargets(ranked.slice(index + 1).map(({job: remaining}) => remaining));
				break;
			}

			if (laterJobs >= maximumLaterJobs) {
				break;
			}
		}

		this.#scheduleLaterPass(now);
		return misses + laterJobs === 0;
	}

	dispose(): void {
		this.#laterPass?.timer.dispose();
	}

	#beginPass(): void {
		const {scheduling} = this.dependencies;
		this.#speedPlacement = scheduling.targetSpeeds.enabled ? new SpeedPlacement(this.dependencies) : undefined;
		this.#laterUntil = Number.POSITIVE_INFINITY;
	}

	/** Records that a pass has left no target free that the jobs could have had. */
	#forgetDeclinedTargets(jobs: readonly RunningJob[]): void {
		if (this.dependencies.scheduling.targetSpeeds.enabled) {
			for (const job of jobs) {
				job.hasDeclinedTarget = false;
			}
		}
	}

	/** Schedules a pass for the time at which the first job stops to wait for a faster target. */
	#scheduleLaterPass(now: number): void {
		const at = now + this.#laterUntil;
		if (at === Number.POSITIVE_INFINITY || (this.#laterPass !== undefined && this.#laterPass.at <= at)) {
			return;
		}

		const {clock, schedulePlacement} = this.dependencies;
		this.#laterPass?.timer.dispose();
		const timer = clock.schedule(Math.ceil(this.#laterUntil), () => {
			this.#laterPass = undefined;
			schedulePlacement();
		});
		this.#laterPass = {at, timer};
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
		if (this.#speedPlacement !== undefined) {
			return this.#startBySpeed(job, state, request, {available, placement: this.#speedPlacement});
		}

		const {zone, executor, pool, random} = this.dependencies;
		if (executor.start(request, pool.self) !== undefined) {
			this.#recordStart(job, state, pool.self);
			return true;
		}

		const choice = chooseRemoteTarget(available, request, zone, random);
		if (choice === undefined) {
			return false;
		}

		this.#send(request, choice);
		this.#recordStart(job, state, choice.member.member.id);
		return true;
	}

	#startBySpeed(job: RunningJob, state: TaskState, request: RunRequest, {available, placement}: {readonly available: readonly RemoteTarget[]; readonly placement: SpeedPlacement}): boolean {
		const {pool, clock} = this.dependencies;
		const now = clock.now();
		const timed = {...request, millisecondsToObjective: Math.round(job.objectiveAt - now)};
		const placed = placement.place(timed, available, now - job.receivedAt);
		job.hasDeclinedTarget = placed.kind === 'later';
		if (placed.kind === 'started') {
			this.#recordStart(job, state, pool.self);
			return true;
		}

		if (placed.kind === 'remote') {
			this.#send(state.capacityRefusals >= maximumCapacityRefusals ? {...placed.request, millisecondsToObjective: 0} : placed.request, placed.choice);
			this.#recordStart(job, state, placed.choice.member.member.id);
			return true;
		}

		if (placed.kind === 'later') {
			this.#isLater = true;
			this.#laterUntil = Math.min(this.#laterUntil, placed.milliseconds);
		}

		return false;
	}

	#recordStart(job: RunningJob, state: TaskState, owner: MemberId): void {
		job.possibleStarts += 1;
		state.owner = owner;
		state.adoptionFence = undefined;
		this.dependencies.forecast.recordStart(job, this.dependencies.clock.now());
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
