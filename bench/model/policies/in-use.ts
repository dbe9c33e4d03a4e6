/** What the daemon does: its own order and its own time to give up. */
import {LeastLaxity} from '../../../src/features/dispatch/least-laxity.js';
import type {RunningJob} from '../../../src/features/dispatch/running-job.js';
import {ModelPolicy} from '../model-policy.js';

export class InUse extends ModelPolicy {
	override readonly name: string = 'in use';
	readonly #order = new LeastLaxity();

	override rank(job: RunningJob, now: number): number {
		return this.#order.rank(job, now);
	}

	override giveUpAt(job: RunningJob): number {
		return job.expiresAt;
	}
}
