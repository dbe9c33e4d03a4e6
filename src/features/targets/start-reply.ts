/** What a target says to a start. */
import type {TargetTime} from '../../base/target-time.js';
import type {OrderFailure} from './order-failure.js';

/**
 * - `started`: the run is there, now or already before.
 * - `noRoom`: it doesn't fit beside what runs there.
 * - `superseded`: a run of this task with the same or a higher attempt was stopped or has ended there.
 * - `expired`: the lease given with the order had passed.
 */
export type StartReply = {readonly kind: 'started' | 'noRoom' | 'superseded' | 'expired'; readonly clock: TargetTime | undefined} | OrderFailure;
