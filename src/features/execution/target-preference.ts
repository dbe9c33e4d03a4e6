/** Preference among targets of different speeds. */
import type {RunRequest} from './run-request.js';
import {slowdownOf} from './slowdown-of.js';
import type {TargetSpeed} from './target-speed.js';

/**
 * A task counts as in time on a target if this multiple of its expected time is left. It covers tasks that differ by 15% within a
 * job, of which the longest decides, inaccurate estimates, and the delivery of messages.
 */
const spreadFactor = 1.4;
/** A task that has less time left than this multiple of its expected time on a target is more likely to be late there than not. */
const likelyFactor = 1.1;
/** Slowdowns that differ by this factor or less count as equal. */
const equalFactor = 1.1;
/** Part of the time that a task can spare for which it waits for a faster target when it would be late on all others anyway. */
const waitShare = 0.5;
/** How long before its refusal a job stops to wait; covers a late timer. */
const latestWaitMilliseconds = 20;

/** Best targets of a list, and whether the task is in time on them. */
type Selection<Target> = {readonly targets: readonly Target[]; readonly isInTime: boolean};

/**
 * Chooses targets for a task by their speeds. Among the targets on which the task is in time, the slowest are preferred, since fast
 * ones are needed by tasks with less time. If it is in time on none, the fastest are preferred.
 */
export class TargetPreference {
	/** The greatest slowdown with which the task is in time. */
	readonly #inTimeSlowdown: number;
	readonly #likelySlowdown: number;

	constructor(private readonly request: RunRequest, private readonly millisecondsToObjective: number) {
		const expected = Math.max(1, request.expectedMilliseconds);
		this.#inTimeSlowdown = millisecondsToObjective / (expected * spreadFactor);
		this.#likelySlowdown = millisecondsToObjective / (expected * likelyFactor);
	}

	/** Returns the equally good best targets, in the given order; `isInTime` is false if there are none. */
	select<Target>(targets: readonly Target[], speedOf: (target: Target) => TargetSpeed): Selection<Target> {
		let slowestInTime = 0;
		let fastest = Number.POSITIVE_INFINITY;
		const slowdowns: number[] = [];
		for (const target of targets) {
			const slowdown = this.#slowdownOn(speedOf(target));
			slowdowns.push(slowdown);
			fastest = Math.min(fastest, slowdown);
			if (slowdown <= this.#inTimeSlowdown) {
				slowestInTime = Math.max(slowestInTime, slowdown);
			}
		}

		const isInTime = slowestInTime > 0;
		const [least, greatest] = isInTime ? [slowestInTime / equalFactor, slowestInTime] : [fastest, fastest * equalFactor];
		return {targets: targets.filter((_, index) => slowdowns[index]! >= least && slowdowns[index]! <= greatest), isInTime};
	}

	/** Whether the first of two targets is faster by more than what counts as equal. */
	isFaster(first: TargetSpeed, second: TargetSpeed): boolean {
		return this.#slowdownOn(first) * equalFactor < this.#slowdownOn(second);
	}

	/**
	 * Milliseconds for which the task should wait for a faster target that has no free capacity now: while it still has a chance on
	 * the best free one, or, if it never had, for part of the time that it can spare. 0 if it should be started now.
	 */
	waitMilliseconds(fastestKnown: TargetSpeed, bestFree: TargetSpeed, waitedMilliseconds: number): number {
		// A job that has not begun is refused once only its expected time is left. It has to take a free target before.
		const limit = this.millisecondsToObjective - this.request.expectedMilliseconds - latestWaitMilliseconds;
		return Math.max(0, Math.min(limit, this.#usefulWait(fastestKnown, bestFree, waitedMilliseconds)));
	}

	#usefulWait(fastestKnown: TargetSpeed, bestFree: TargetSpeed, waitedMilliseconds: number): number {
		const known = this.#slowdownOn(fastestKnown);
		const free = this.#slowdownOn(bestFree);
		if (known > this.#inTimeSlowdown || known * equalFactor >= free) {
			return 0;
		}

		const {expectedMilliseconds} = this.request;
		if (free <= this.#likelySlowdown) {
			return this.millisecondsToObjective - (expectedMilliseconds * free * likelyFactor);
		}

		const spareAtFirst = this.millisecondsToObjective + waitedMilliseconds - (expectedMilliseconds * known * spreadFactor);
		const hadChance = expectedMilliseconds * free * likelyFactor <= this.millisecondsToObjective + waitedMilliseconds;
		return hadChance ? 0 : (waitShare * spareAtFirst) - waitedMilliseconds;
	}

	#slowdownOn({slowdown, labels}: TargetSpeed): number {
		const {place} = this.request;
		return place.nearLabel === undefined ? slowdown : slowdown * slowdownOf(place, labels);
	}
}
