/** A right to own targets. */
import type {FencingToken} from '../../base/fencing-token.js';

/** `renewedAt` is the monotonic time of the last answer that confirmed it. */
export type Claim = {
	readonly fence: FencingToken;
	readonly partitions: ReadonlySet<number>;
	readonly renewedAt: number;
};
