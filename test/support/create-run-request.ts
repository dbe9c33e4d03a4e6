/** Run requests for tests. */
import type {ProfileName} from '../../src/base/profile-name.js';
import {Resources} from '../../src/base/resources.js';
import type {ServiceName} from '../../src/base/service-name.js';
import type {TaskId} from '../../src/base/task-id.js';
import type {RunRequest} from '../../src/features/execution/run-request.js';
import {unconstrainedPlacement} from './unconstrained-placement.js';

/** Creates a request for a run that needs 27 cores and takes the number of milliseconds in `payload`. */
export function createRunRequest(task: string, payload: string, attempt = 1): RunRequest {
	return {
		task: task as TaskId,
		attempt,
		payload,
		need: new Resources(27_000, 64, 0),
		queue: 'queue' as ProfileName,
		service: 'service' as ServiceName,
		place: unconstrainedPlacement,
		requiresNearData: false,
		excludedTargets: [],
		jobTaskCount: 1,
		expectedMilliseconds: Number(payload),
	};
}
