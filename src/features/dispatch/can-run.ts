/** Eligibility of remote targets. */
import type {RunRequest} from '../execution/run-request.js';
import {satisfiesConstraints} from '../execution/satisfies-constraints.js';
import type {RemoteTarget} from './remote-target.js';

/** Whether the target satisfies the constraints of the request and has enough free capacity. */
export function canRun(target: RemoteTarget['target'], request: RunRequest): boolean {
	return request.need.fitsInto(target.room)
		&& target.service === request.service
		&& satisfiesConstraints(request, target.labels);
}
