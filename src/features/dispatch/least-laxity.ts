/** Order by objective, with regard to what has been begun. */
import {QueueOrder} from './queue-order.js';
import type {RunningJob} from './running-job.js';

/**
 * What a step of priority weighs against the time that a job has left: a more urgent queue goes first among jobs of about the
 * same age, and a less urgent one isn't starved.
 */
const priorityMilliseconds = 150;
/** Above any objective, so that the two kinds never mix. */
const aheadMilliseconds = 1_000_000;
/**
 * A late answer is worth less than one in time: only a job that needs little more yields about what a fresh one does for the
 * same work.
 */
const nearlyDoneShare = 0.25;

/**
 * First the rest of jobs that have begun and can keep their objective: their running tasks are of no use without it. Then
 * jobs that haven't begun, the nearest objective first, with regard to their queues' priority. Jobs that have missed it come last, unless they are nearly done.
 */
export class LeastLaxity extends QueueOrder {
	override rank(job: RunningJob, now: number): number {
		const latestStart = job.objectiveAt - job.expectedMilliseconds;
		if (latestStart >= now) {
			const due = latestStart + (job.job.route.priority * priorityMilliseconds);
			return job.mayHaveRun ? due - aheadMilliseconds : due;
		}

		return job.waiting.length <= nearlyDoneShare * job.tasks.length ? latestStart : latestStart + aheadMilliseconds;
	}
}
