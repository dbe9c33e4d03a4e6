/** What an owner gets to see of a task. */
import type {RunRequest} from '../execution/run-request.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** The request for the present attempt. */
export function requestOf({job, expectedMilliseconds}: RunningJob, slot: TaskState): RunRequest {
	return {
		task: slot.id,
		attempt: slot.attempt,
		payload: job.payload,
		need: job.shape.need,
		queue: job.route.queue,
		service: job.route.service,
		place: job.shape.place,
		requiresNearData: false,
		excludedTargets: [...slot.excludedTargets],
		jobTaskCount: job.shape.count,
		expectedMilliseconds,
	};
}
