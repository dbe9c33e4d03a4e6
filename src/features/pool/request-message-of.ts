/** Run requests as they travel. */
import type {RunRequest} from '../execution/run-request.js';
import type {OutgoingPoolMessage} from './outgoing-pool-message.js';

type OutgoingRequest = Extract<OutgoingPoolMessage, {kind: 'run'}>['request'];

/** The same request with its amounts as a tuple. */
export function requestMessageOf(request: RunRequest): OutgoingRequest {
	const {cpuMillis, memoryMegabytes, accelerators} = request.need;
	return {...request, avoid: [...request.avoid], need: [cpuMillis, memoryMegabytes, accelerators]};
}
