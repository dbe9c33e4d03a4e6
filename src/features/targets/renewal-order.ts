/** Order to renew a target's lease and to report. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetTime} from '../../base/target-time.js';

/** Acknowledges ends, renews the lease of all runs on the target, and waits for the next end. */
export type RenewalOrder = {
	readonly fence: FencingToken;
	/** The target discards ends up to this number. */
	readonly acknowledged: number;
	/** The lease's new end by the target's clock; undefined to renew nothing. */
	readonly leaseUntil: TargetTime | undefined;
	/** How long the target may wait for an end before it answers. */
	readonly waitMilliseconds: number;
	/** Time limit for the answer, in addition to the wait. */
	readonly limitMilliseconds: number;
};
