/** Builds run requests. */
import type {RunRequest} from '../execution/run-request.js';
import type {RunningJob} from './running-job.js';
import type {TaskState} from './task-state.js';

/** The run request for the current attempt of a task. */
export function requestOf({job, expectedMilliseconds}: RunningJob, state: TaskState): RunRequest {
	return {
		task: state.id,
		attempt: state.attempt,
		payload: job.payload,
		need: job.shape.need,
		queue: job.route.queue,
		service: job.route.service,
		place: job.shape.place,
		requiresNearData: false,
		excludedTargets: [...state.excludedTargets],
		jobTaskCount: job.shape.count,
		expectedMilliseconds,
	};
}
