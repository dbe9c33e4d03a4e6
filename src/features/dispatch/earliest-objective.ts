/** Order by objective. */
import {QueueOrder} from './queue-order.js';
import type {RunningJob} from './running-job.js';

/** The job whose objective is nearest comes first; those that have missed it come after all that can still keep it. */
export class EarliestObjective extends QueueOrder {
	override rank(job: RunningJob, now: number): number {
		const latestStart = job.objectiveAt - job.expectedMilliseconds;
		return latestStart >= now ? latestStart : latestStart + missedPenaltyMilliseconds;
	}
}

/** Above any objective, so that the two kinds never mix. */
const missedPenaltyMilliseconds = 1_000_000;
