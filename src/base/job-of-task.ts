/** The job that a task belongs to. */
import type {JobId} from './job-id.js';

/** A task is named after its job, up to the first point. */
export function jobOfTask(task: string): JobId {
	return task.slice(0, task.indexOf('.')) as JobId;
}
