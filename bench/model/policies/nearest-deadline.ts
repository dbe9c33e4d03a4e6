/** Baseline: the nearest objective first, refused when it can't be kept. */
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import {ModelPolicy} from '../model-policy.js';

export class NearestDeadline extends ModelPolicy {
	override readonly name = 'deadline';

	override rank(job: RunningJob): number {
		return job.objectiveAt - job.expectedMilliseconds;
	}

	override giveUpAt(job: RunningJob): number {
		return job.objectiveAt - job.expectedMilliseconds;
	}
}
