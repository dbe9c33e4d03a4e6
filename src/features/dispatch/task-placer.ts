/** Where waiting tasks go. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {Pool} from '../pool/pool.js';
import {chooseMember} from './choose-member.js';
import type {QueueOrder} from './queue-order.js';
import {requestOf} from './request-of.js';
import type {RunningJob} from './running-job.js';
import type {TaskSlot} from './task-slot.js';

/** After so many tasks that fit nowhere the rest of the queue is left for the next change of room. */
const missesToGiveUp = 6;

/** What the placer works with. */
type TaskPlacerParts = {
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
		const now = this.parts.clock.now();
		const waiting = [...jobs].filter(job => job.waiting.length > 0);
		const ranked = waiting.map(job => ({job, rank: this.parts.order.rank(job, now)}));
		ranked.sort((left, right) => left.rank - right.rank);
		let misses = 0;
		for (const {job} of ranked) {
			misses += this.#placeTasksOf(job) ? 0 : 1;
			if (misses >= missesToGiveUp) {
				break;
			}
		}

		return misses === 0;
	}

	/** Places one task, on this entry's own targets first; false where it has to wait. */
	place(job: RunningJob, slot: TaskSlot): boolean {
		const {executor, pool, clock, journal} = this.parts;
		if (executor.isRunning(slot.id)) {
			// Its caller submitted here after the loss of another entry, for which the task is still being stopped here.
			return false;
		}

		const request = requestOf(job, slot);
		if (executor.start(request, pool.self) !== undefined) {
			note(job, slot, pool.self);
			return true;
		}

		const choice = chooseMember(pool.members, request, this.parts.random, clock.now() - pool.freshMilliseconds);
		if (choice === undefined) {
			return false;
		}

		pool.reserve(choice.member, choice.share, request.need);
		pool.send(choice.member.member.id, {kind: 'run', request});
		journal.record('taskSent', {
			task: slot.id, attempt: slot.attempt, owner: choice.member.member.id, heardAgoMilliseconds: Math.round(clock.now() - choice.member.heardAt),
		});
		note(job, slot, choice.member.member.id);
		return true;
	}

	#placeTasksOf(job: RunningJob): boolean {
		return job.waiting.every(slot => this.place(job, slot));
	}
}

function note(job: RunningJob, slot: TaskSlot, owner: MemberId): void {
	job.orderedStarts += 1;
	slot.owner = owner;
}
