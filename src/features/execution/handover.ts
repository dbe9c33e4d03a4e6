/** Transfer of runs to the next owner of a target. */
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/** The runs of a target when its owner released it. */
export type Handover = {
	readonly target: InstanceId;
	readonly runs: ReadonlyArray<{readonly request: RunRequest; readonly requester: MemberId}>;
};
