/** Commands to the owners of targets that run this entry's tasks. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {Pool} from '../pool/pool.js';
import type {JobTable} from './job-table.js';
import {requestOf} from './request-of.js';

type OwnedRun = {readonly task: TaskId; readonly attempt: number; readonly owner: MemberId};

/** Dependencies of `OwnerCommands`. */
type OwnerCommandsDependencies = {
	readonly jobs: JobTable;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly journal: Journal;
};

/** Stops runs on local and remote targets, and resends commands after a reconnect. */
export class OwnerCommands {
	constructor(private readonly dependencies: OwnerCommandsDependencies) {}

	/** Stops a run through the owner of its target. */
	stop({task, attempt, owner}: OwnedRun, cause: string): void {
		const {executor, pool} = this.dependencies;
		if (owner === pool.self) {
			executor.stop(task, attempt, cause, pool.unreadMilliseconds);
		} else {
			pool.send(owner, {
				kind: 'stop', task, attempt, cause, unreadMilliseconds: pool.unreadMilliseconds || undefined,
			});
		}
	}

	/** Resends stops that may have been lost with the previous connection. */
	resendStops(member: MemberId): void {
		for (const {id, attempt} of this.dependencies.jobs.endedTasksOwnedBy(member)) {
			this.stop({task: id, attempt, owner: member}, 'its job is over');
		}
	}

	/** Resends run requests that may have been lost with the previous connection. */
	resendRequests(member: MemberId): void {
		const {jobs, pool, journal} = this.dependencies;
		for (const job of jobs) {
			for (const state of job.tasks) {
				if (state.owner === member) {
					journal.record('taskResent', {task: state.id, attempt: state.attempt, owner: member});
					pool.send(member, {kind: 'run', request: requestOf(job, state)});
				}
			}
		}
	}
}
