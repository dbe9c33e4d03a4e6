/** Workers run only what callers handed in, as they handed it in. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

/** Compares each start with its caller's job: id, task number, payload, and a sending before it. */
export class RequestedTasksOnly extends Invariant {
	override readonly name = 'only what callers asked for is started';
	override readonly isTimed = false;

	override violations({jobs, runs}: SoakRecord): readonly string[] {
		const known = new Map(jobs.map(job => [job.id, job]));
		return runs.filter(({kind}) => kind === 'start').flatMap(({task, payload, at}) => {
			const fields = task.split('.');
			const job = known.get(fields[0]!);
			const isAsked = job !== undefined && Number(fields.at(-1)) < job.tasks && job.payload === payload && (job.attempts[0]?.sentAt ?? at + 1) <= at;
			return isAsked ? [] : [`${task} with ${payload}`];
		});
	}
}
