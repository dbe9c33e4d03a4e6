/** A job whose every sending was refused as not run has not run. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

const refusals: ReadonlySet<number> = new Set([400, 404, 413, 429, 503]);

/** A sending without an answer leaves open whether the job ran. */
export class AccurateRejection extends Invariant {
	override readonly name = 'what was refused as not run has not run';
	override readonly isTimed = false;

	override violations({jobs, runs}: SoakRecord): readonly string[] {
		const begun = new Set(runs.map(({task}) => task.split('.')[0]));
		return jobs
			.filter(({id, attempts}) => begun.has(id) && attempts.length > 0 && attempts.every(({outcome}) => outcome?.kind === 'answer' && refusals.has(outcome.status)))
			.map(({id}) => `${id} was refused and began`);
	}
}
