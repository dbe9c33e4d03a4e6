/** What the next owner of a target has to know. */
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/** The runs of a target at the moment its owner gave it up. */
export type Handover = {
	readonly target: InstanceId;
	readonly runs: ReadonlyArray<{readonly request: RunRequest; readonly requester: MemberId}>;
};
