/** Orders to the owners of the targets on which tasks of this entry run. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Executor} from '../execution/executor.js';
import type {Pool} from '../pool/pool.js';
import type {JobTable} from './job-table.js';
import {requestOf} from './request-of.js';

type OwnedRun = {readonly task: TaskId; readonly attempt: number; readonly owner: MemberId};

/** What the orders work with. */
type OwnerCommandsDependencies = {
	readonly jobs: JobTable;
	readonly executor: Executor;
	readonly pool: Pool;
};

/** Stops runs on the targets of this entry and of others, and says again what a lost connection may have swallowed. */
export class OwnerCommands {
	constructor(private readonly parts: OwnerCommandsDependencies) {}

	/** Has a run ended by whoever owns its target. */
	stop({task, attempt, owner}: OwnedRun, cause: string): void {
		const {executor, pool} = this.parts;
		if (owner === pool.self) {
			executor.stop(task, attempt, cause);
		} else {
			pool.send(owner, {
				kind: 'stop', task, attempt, cause,
			});
		}
	}

	/** What was sent on the former connection may be lost: requests, and stops of jobs that are over. */
	resend(member: MemberId): void {
		const {jobs, pool} = this.parts;
		for (const {id, attempt} of jobs.endedTasksOwnedBy(member)) {
			this.stop({task: id, attempt, owner: member}, 'its job is over');
		}

		for (const job of jobs) {
			for (const slot of job.tasks) {
				if (slot.owner === member) {
					pool.send(member, {kind: 'run', request: requestOf(job, slot)});
				}
			}
		}
	}
}
