/** The most worth for the work that is left, within reach or not. Entries don't know what a job is worth: a bound. */
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import type {JobClass} from '../job-class.js';
import {ModelPolicy} from '../model-policy.js';

export class WorthForWork extends ModelPolicy {
	override readonly name: string = 'worth for work';

	constructor(private readonly classes: readonly JobClass[]) {
		super();
	}

	override rank(job: RunningJob, _now: number): number {
		const kind = this.classes.find(({name}) => name === job.job.route.queue)!;
		const work = job.tasks.length * job.expectedMilliseconds;
		const worth = kind.worth * (0.3 + (0.7 * work / (kind.meanTasks * kind.taskMilliseconds)));
		return -worth / (job.waiting.length * job.expectedMilliseconds);
	}

	override giveUpAt(job: RunningJob): number {
		return job.objectiveAt - job.expectedMilliseconds;
	}
}
