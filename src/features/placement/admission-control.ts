/** Decides whether a job's wishes may join the queue. */
import type {ProfileName} from '../../base/profile-name.js';
import type {FairQueue} from './fair-queue.js';
import type {JobRefusal} from './job-refusal.js';
import type {PlacementRequest} from './placement-request.js';
import type {RunTimes} from './run-times.js';
import type {SlotTable} from './slot-table.js';
import {TokenBucket} from './token-bucket.js';

/** Of the tasks of a job, so many in total may be expected to run longer than what the estimate reckons with. */
const expectedLateTasksPerJob = 0.01;
/** The queue isn't served strictly in the order of arrival, and what's learned lags: waits turn out this much longer. */
const waitSafetyFactor = 1.25;
const maximumRetryAfterMilliseconds = 10_000;
const minimumRetryAfterMilliseconds = 100;
/** A rate's bucket holds one second's worth, and one job of the largest size. */
const minimumBurstTasks = 200;

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/**
 * A job is taken whole or refused whole, at once and before anything of it runs: a job that is refused after some of
 * its tasks ran has wasted them.
 */
export class AdmissionControl {
	readonly #buckets = new Map<ProfileName, {readonly rate: number; readonly bucket: TokenBucket}>();

	constructor(private readonly queue: FairQueue, private readonly slotTable: SlotTable, private readonly runTimes: RunTimes) {}

	/** Returns why the job can't be taken, or nothing. */
	refusalOf(want: Want, now: number): JobRefusal | undefined {
		return this.#checkPlaceable(want) ?? this.#checkTaskLimits(want) ?? this.#checkDeadline(want) ?? this.#checkRate(want, now);
	}

	/** How long the last of so many more tasks of a profile would wait for a slot, in milliseconds. */
	#expectedWait(want: Want, tasks: number): number {
		const mean = this.runTimes.mean(want.profile, want.tasks[0]?.declaredMilliseconds);
		const work = this.queue.workUntilServed(want.profile, want.weight, tasks * mean);
		// Slots that are free take their tasks at once; with a queue there are none.
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

	/** Refuses what would miss its deadline anyway: it would take slots from what can still make it. */
	#checkDeadline(want: Want): JobRefusal | undefined {
		const declared = want.tasks[0]?.declaredMilliseconds;
		const wait = this.#expectedWait(want, want.tasks.length);
		const slowRunTime = this.runTimes.quantile(want.profile, 1 - (expectedLateTasksPerJob / want.tasks.length), declared);
		const excess = (wait * waitSafetyFactor) + Math.min(slowRunTime, want.limitMilliseconds) - want.remainingMilliseconds;
		if (excess <= 0) {
			return undefined;
		}

		const detail = `the answer is expected in ${Math.round(wait + slowRunTime)} ms, the deadline is in ${Math.round(want.remainingMilliseconds)} ms`;
		// With an empty queue no later time is better: the deadline itself is too short, and no retry is suggested.
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
