/** Checks that a rejected job has not run. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

const rejectionStatuses: ReadonlySet<number> = new Set([400, 404, 413, 429, 503]);

/** Applies if every attempt was rejected; an attempt without an answer may have run. */
export class AccurateRejection extends Invariant {
	override readonly name = 'a rejected job has not run';
	override readonly isTimed = false;

	override violations({jobs, runs}: SoakRecord): readonly string[] {
		const started = new Set(runs.map(({task}) => task.split('.')[0]));
		return jobs
			.filter(({id, attempts}) => started.has(id) && attempts.length > 0 && attempts.every(({outcome}) => outcome?.kind === 'answer' && rejectionStatuses.has(outcome.status)))
			.map(({id}) => `${id} was rejected but started`);
	}
}
