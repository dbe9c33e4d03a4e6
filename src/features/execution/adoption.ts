/** A run that goes on under another owner. */
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/** `handedOverAt` is when the former owner's word came, in monotonic time. */
export type Adoption = {readonly requester: MemberId; readonly request: RunRequest; readonly handedOverAt: number};
