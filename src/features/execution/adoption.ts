/** A run that continues under another owner. */
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/** `handedOverAt` is the monotonic time at which the handover arrived. */
export type Adoption = {readonly requester: MemberId; readonly request: RunRequest; readonly handedOverAt: number};
