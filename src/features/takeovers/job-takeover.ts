/** A resubmitted job that its entry takes over from the entries of its former submissions. */
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';

/**
 * `claimant` is the entry of the later submission. Callers state their remaining time, so that of two submissions of a job the later one
 * has the shorter timeout, whichever is read first.
 */
export type JobTakeover = {readonly job: JobId; readonly timeoutMilliseconds: number; readonly claimant: MemberId};
