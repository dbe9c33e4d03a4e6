/** Baseline: in the order of arrival, never refused. */
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import {ModelPolicy} from '../model-policy.js';

export class ArrivalOrder extends ModelPolicy {
	override readonly name = 'arrival';

	override rank(job: RunningJob): number {
		return job.receivedAt;
	}
}
