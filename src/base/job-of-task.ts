/** Derives job ids from task ids. */
import type {JobId} from './job-id.js';

/** The job id is the part of the task id before the first dot. */
export function jobOfTask(task: string): JobId {
	return task.slice(0, task.indexOf('.')) as JobId;
}
