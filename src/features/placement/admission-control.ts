/** Admission control: decides whether the tasks of a job may be queued. */
import type {ProfileName} from '../../base/profile-name.js';
import type {FairQueue} from './fair-queue.js';
import type {JobRefusal} from './job-refusal.js';
import type {PlacementRequest} from './placement-request.js';
import type {RunTimes} from './run-times.js';
import type {SlotTable} from './slot-table.js';
import {TokenBucket} from './token-bucket.js';

/** Number of tasks per job that may be expected to exceed the run time used for the estimate. */
const expectedLateTasksPerJob = 0.01;
/** Compensates for out-of-order service and outdated run time statistics when estimating waits. */
const waitSafetyFactor = 1.25;
const maximumRetryAfterMilliseconds = 10_000;
const minimumRetryAfterMilliseconds = 100;
/** Lower bound for the burst size of a rate limit; allows one job of the maximum size. */
const minimumBurstTasks = 200;

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/** Accepts or refuses a job as a whole before any task starts, so that no work is wasted on a job refused later. */
export class AdmissionControl {
	readonly #buckets = new Map<ProfileName, {readonly rate: number; readonly bucket: TokenBucket}>();

	constructor(private readonly queue: FairQueue, private readonly slotTable: SlotTable, private readonly runTimes: RunTimes) {}

	/** Returns the reason for a refusal, or undefined if the job is admitted. */
	refusalOf(want: Want, now: number): JobRefusal | undefined {
		return this.#checkPlaceable(want) ?? this.#checkTaskLimits(want) ?? this.#checkDeadline(want) ?? this.#checkRate(want, now);
	}

	/** Expected wait for a slot, in milliseconds, of the last of `tasks` additional tasks of the profile. */
	#expectedWait(want: Want, tasks: number): number {
		const mean = this.runTimes.mean(want.profile, want.tasks[0]?.declaredMilliseconds);
		const work = this.queue.workUntilServed(want.profile, want.weight, tasks * mean);
		// With an empty queue, free slots are assigned immediately.
		const isIdle = this.queue.length === 0;
		const startedAtOnce = isIdle ? this.slotTable.freeSlots * mean : 0;
		return Math.max(0, work - startedAtOnce) / Math.max(1, this.slotTable.totalSlots);
	}

	#checkPlaceable(want: Want): JobRefusal | undefined {
		if (this.slotTable.targets.length === 0) {
			return {cause: 'noTarget', detail: 'the zone has no target that takes work', retryAfterMilliseconds: 1000};
		}

		const index = want.tasks.findIndex(task => !this.slotTable.isPlaceable({task: {...task, excluded: []}}));
		if (index === -1) {
			return undefined;
		}

		return {cause: 'neverPlaceable', detail: `no target of the zone has the size or the labels that task ${index} asks for`};
	}

	#checkTaskLimits(want: Want): JobRefusal | undefined {
		const waiting = this.queue.waitingTasks(want.profile);
		const {tasksInFlight, tasksQueued} = want.limits;
		if (tasksQueued !== undefined && waiting + want.tasks.length > tasksQueued + this.slotTable.freeSlots) {
			return {cause: 'queueFull', detail: `${waiting} tasks of the profile wait, ${tasksQueued} may`, retryAfterMilliseconds: this.#retryAfter(want)};
		}

		const held = tasksInFlight === undefined ? 0 : this.slotTable.leasedSlots.filter(slot => slot.profile === want.profile).length;
		if (tasksInFlight !== undefined && waiting + held + want.tasks.length > tasksInFlight) {
			return {cause: 'limitReached', detail: `${waiting + held} tasks of the profile are in flight, ${tasksInFlight} may be`, retryAfterMilliseconds: this.#retryAfter(want)};
		}

		return undefined;
	}

	/** Refuses jobs that are expected to miss their deadline, to keep slots for jobs that can still meet theirs. */
	#checkDeadline(want: Want): JobRefusal | undefined {
		const declared = want.tasks[0]?.declaredMilliseconds;
		const wait = this.#expectedWait(want, want.tasks.length);
		const slowRunTime = this.runTimes.quantile(want.profile, 1 - (expectedLateTasksPerJob / want.tasks.length), declared);
		const excess = (wait * waitSafetyFactor) + Math.min(slowRunTime, want.limitMilliseconds) - want.remainingMilliseconds;
		if (excess <= 0) {
			return undefined;
		}

		const detail = `the answer is expected in ${Math.round(wait + slowRunTime)} ms, the deadline is in ${Math.round(want.remainingMilliseconds)} ms`;
		// If the wait is negligible, a later attempt would fail as well, so no retry is suggested.
		return wait < 1 ? {cause: 'deadlineUnreachable', detail} : {cause: 'deadlineUnreachable', detail, retryAfterMilliseconds: boundedRetryAfter(excess)};
	}

	#checkRate(want: Want, now: number): JobRefusal | undefined {
		const rate = want.limits.tasksPerSecond;
		if (rate === undefined) {
			return undefined;
		}

		let limit = this.#buckets.get(want.profile);
		if (limit?.rate !== rate) {
			limit = {rate, bucket: new TokenBucket(rate, Math.max(rate, minimumBurstTasks), now)};
			this.#buckets.set(want.profile, limit);
		}

		const taken = limit.bucket.take(want.tasks.length, now);
		if (taken.kind === 'taken') {
			return undefined;
		}

		return {cause: 'limitReached', detail: `the profile's rate is ${rate} tasks a second`, retryAfterMilliseconds: boundedRetryAfter(taken.waitMilliseconds)};
	}

	#retryAfter(want: Want): number {
		return boundedRetryAfter(this.#expectedWait(want, 0));
	}
}

function boundedRetryAfter(milliseconds: number): number {
	return Math.ceil(Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, milliseconds)));
}
