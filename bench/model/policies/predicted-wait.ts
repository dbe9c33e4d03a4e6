/** As in use, but a job is refused as it arrives where the work that waits already takes longer than it can wait. */
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import type {ModelPolicy} from '../model-policy.js';
import {InUse} from './in-use.js';

export class PredictedWait extends InUse {
	override readonly name: string;

	/** With a factor of 2 a job is refused only where twice its slack would be needed. */
	constructor(private readonly factor: number) {
		super();
		this.name = `predicted wait x ${factor}`;
	}

	override refusesAtArrival(job: RunningJob, {slots, waitingWorkMilliseconds}: Parameters<ModelPolicy['refusesAtArrival']>[1]): boolean {
		const slack = job.objectiveAt - job.expectedMilliseconds - job.receivedAt;
		return waitingWorkMilliseconds / slots > this.factor * slack;
	}
}
