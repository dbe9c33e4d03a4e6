/** Least-laxity-first queue order. */
import {QueueOrder} from './queue-order.js';
import type {RunningJob} from './running-job.js';
import {weightedStartOf} from './weighted-start-of.js';

/** Separates the classes of the order; larger than any objective. */
const classOffsetMilliseconds = 1_000_000;
/**
 * A late job is still worth its capacity if at most this share of its tasks is waiting. A late answer is worth less than one in time,
 * so only a job that needs little more yields about as much as a new one for the same work.
 */
const nearlyDoneShare = 0.25;

/**
 * Ranks by latest start time. Started jobs that can meet their objective come first, since their finished tasks are useless
 * without the rest; then unstarted jobs, weighted by priority; then late jobs, unless they are nearly done.
 */
export class LeastLaxity extends QueueOrder {
	override rank(job: RunningJob, now: number): number {
		const latestStart = job.objectiveAt - job.expectedMilliseconds;
		if (latestStart >= now) {
			const weightedStart = weightedStartOf(job);
			return job.mayHaveRun ? weightedStart - classOffsetMilliseconds : weightedStart;
		}

		return job.waitingCount <= nearlyDoneShare * job.tasks.length ? latestStart : latestStart + classOffsetMilliseconds;
	}
}
