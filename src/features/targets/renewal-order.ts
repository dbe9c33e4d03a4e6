/** The order to renew a target's lease and to report. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetTime} from '../../base/target-time.js';

/** Acknowledges ends, renews the lease of everything that runs there, and waits for the next end. */
export type RenewalOrder = {
	readonly fence: FencingToken;
	/** Ends up to this number are forgotten by the target. */
	readonly acknowledged: number;
	/** Absent: look only, and renew nothing. */
	readonly leaseUntil: TargetTime | undefined;
	/** How long the target may wait for an end before it answers. */
	readonly waitMilliseconds: number;
	/** After so long without an answer, beyond the wait, the order counts as unanswered. */
	readonly limitMilliseconds: number;
};
