/** Checks that workers start only tasks that callers submitted. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

/** Compares the job id, task index and payload of each start with the submitted job, which must precede the start. */
export class RequestedTasksOnly extends Invariant {
	override readonly name = 'workers start only tasks that callers submitted';
	override readonly isTimed = false;

	override violations({jobs, runs}: SoakRecord): readonly string[] {
		const known = new Map(jobs.map(job => [job.id, job]));
		return runs.filter(({kind}) => kind === 'start').flatMap(({task, payload, at}) => {
			const fields = task.split('.');
			const job = known.get(fields[0]!);
			const isRequested = job !== undefined && Number(fields.at(-1)) < job.tasks && job.payload === payload && (job.attempts[0]?.sentAt ?? at + 1) <= at;
			return isRequested ? [] : [`${task} with ${payload}`];
		});
	}
}
