/** Where waiting tasks go. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {RunRequest} from '../execution/run-request.js';
import type {Pool} from '../pool/pool.js';
import {chooseRemoteTarget} from './choose-remote-target.js';
import type {RemoteTarget} from './remote-target.js';
import {availableRemoteTargets} from './available-remote-targets.js';
import type {QueueOrder} from './queue-order.js';
import {requestOf} from './request-of.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** After so many tasks that fit nowhere the rest of the queue is left for the next change of room. */
const missesToGiveUp = 6;

/** What the placer works with. */
type TaskPlacerParts = {
	readonly zone: AvailabilityZone;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly order: QueueOrder;
	readonly random: Random;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Puts tasks on the targets of any entry of the pool that has room now, in the order of their jobs. */
export class TaskPlacer {
	constructor(private readonly parts: TaskPlacerParts) {}

	/** Whether nothing was left waiting. */
	placeAll(jobs: Iterable<RunningJob>): boolean {
		const {pool, order, clock} = this.parts;
		const now = clock.now();
		const waiting = [...jobs].filter(job => job.hasWaiting);
		if (waiting.length === 0) {
			return true;
		}

		const leastCpuMillis = Math.min(...waiting.map(({job}) => job.shape.need.cpuMillis));
		const open = availableRemoteTargets(pool, leastCpuMillis);
		const ranked = waiting.map(job => ({job, rank: order.rank(job, now)}));
		ranked.sort((left, right) => left.rank - right.rank);
		let misses = 0;
		for (const {job} of ranked) {
			misses += this.#placeTasksOf(job, open) ? 0 : 1;
			if (misses >= missesToGiveUp) {
				break;
			}
		}

		return misses === 0;
	}

	#placeTasksOf(job: RunningJob, open: readonly RemoteTarget[]): boolean {
		return job.waiting.every(slot => this.#place(job, slot, open));
	}

	/** Places one task, near its data and on this entry's own targets first; false where it has to wait. */
	#place(job: RunningJob, slot: TaskState, open: readonly RemoteTarget[]): boolean {
		const {executor} = this.parts;
		if (executor.isRunning(slot.id)) {
			// Its caller submitted here after the loss of another entry, for which the task is still being stopped here.
			return false;
		}

		const request = requestOf(job, slot);
		if (request.place.nearLabel === undefined) {
			return this.#start(job, slot, request, open);
		}

		return this.#start(job, slot, {...request, requiresNearData: true}, open) || (job.isLocalityRelaxed && this.#start(job, slot, request, open));
	}

	#start(job: RunningJob, slot: TaskState, request: RunRequest, open: readonly RemoteTarget[]): boolean {
		const {zone, executor, pool, random} = this.parts;
		if (executor.start(request, pool.self) !== undefined) {
			note(job, slot, pool.self);
			return true;
		}

		const choice = chooseRemoteTarget(open, request, zone, random);
		if (choice === undefined) {
			return false;
		}

		this.#send(request, choice);
		note(job, slot, choice.member.member.id);
		return true;
	}

	#send(request: RunRequest, {member, target: share}: RemoteTarget): void {
		const {pool, clock, journal} = this.parts;
		share.room = share.room.minus(request.need);
		pool.send(member.member.id, {kind: 'run', request});
		journal.record('taskSent', {
			task: request.task, attempt: request.attempt, owner: member.member.id, heardAgoMilliseconds: Math.round(clock.now() - member.heardAt),
		});
	}
}

function note(job: RunningJob, slot: TaskState, owner: MemberId): void {
	job.possibleStarts += 1;
	slot.owner = owner;
}
