/** Baseline: the least work first, refused when the objective can't be kept. */
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import {ModelPolicy} from '../model-policy.js';

export class ShortestFirst extends ModelPolicy {
	override readonly name = 'shortest';

	override rank(job: RunningJob): number {
		return job.waiting.length * job.expectedMilliseconds;
	}

	override giveUpAt(job: RunningJob): number {
		return job.objectiveAt - job.expectedMilliseconds;
	}
}
