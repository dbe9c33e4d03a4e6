/** As worth for work, but jobs that can't keep their objective come last. A bound, as that. */
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import {WorthForWork} from './worth-for-work.js';

const behindAll = 1000;

export class WorthWithinReach extends WorthForWork {
	override readonly name = 'worth within reach';

	override rank(job: RunningJob, now: number): number {
		const isWithinReach = job.objectiveAt - job.expectedMilliseconds >= now;
		return super.rank(job, now) + (isWithinReach ? 0 : behindAll);
	}

	override giveUpAt(job: RunningJob): number {
		return job.expiresAt;
	}
}
