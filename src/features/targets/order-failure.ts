/** Failure of an order to a target. */
import type {TargetTime} from '../../base/target-time.js';

/**
 * - `fenced`: the target has accepted a higher token; the order wasn't executed.
 * - `replaced`: another incarnation answers at the address; this one is gone, with all its runs.
 * - `unhealthy`: the target refused for its own reasons; the order wasn't executed.
 * - `unreachable`: the connection failed; the order wasn't executed.
 * - `unanswered`: the order may have been executed, or may be executed later.
 * - `rejected`: the target considered the order invalid; it wasn't executed.
 */
export type OrderFailure =
	| {readonly kind: 'fenced'; readonly detail: string; readonly clock?: TargetTime | undefined}
	| {readonly kind: 'replaced' | 'unhealthy' | 'unreachable' | 'unanswered' | 'rejected'; readonly detail: string};
