/** A target's answer to a start. */
import type {TargetTime} from '../../base/target-time.js';
import type {OrderFailure} from './order-failure.js';

/**
 * - `started`: the run was started by this or an earlier order.
 * - `noRoom`: the target has too little free capacity.
 * - `superseded`: the same or a higher attempt of this task was stopped or has ended on the target.
 * - `expired`: the lease in the order had expired.
 */
export type StartReply = {readonly kind: 'started' | 'noRoom' | 'superseded' | 'expired'; readonly clock: TargetTime | undefined} | OrderFailure;
