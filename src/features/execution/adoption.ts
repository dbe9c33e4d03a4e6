/** A run that continues under another owner. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/** `handedOverAt` is the monotonic time at which the handover arrived, and `fence` the token of the new owner. */
export type Adoption = {readonly requester: MemberId; readonly request: RunRequest; readonly handedOverAt: number; readonly fence: FencingToken};
