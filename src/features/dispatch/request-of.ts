/** What an owner gets to see of a task. */
import type {RunRequest} from '../execution/run-request.js';
import type {RunningJob} from './running-job.js';
import type {TaskSlot} from './task-slot.js';

/** The request for the present attempt. */
export function requestOf({job, expectedMilliseconds}: RunningJob, slot: TaskSlot): RunRequest {
	return {
		task: slot.id,
		attempt: slot.attempt,
		payload: job.payload,
		need: job.shape.need,
		queue: job.route.queue,
		service: job.route.service,
		place: job.shape.place,
		requiresNearData: false,
		excludedTargets: [...slot.avoid],
		jobTaskCount: job.shape.count,
		expectedMilliseconds,
	};
}
