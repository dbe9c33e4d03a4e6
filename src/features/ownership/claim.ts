/** A right to own targets. */
import type {FencingToken} from '../../base/fencing-token.js';

/** The partitions of a group, and the token for orders to their targets. */
export type Claim = {
	readonly fence: FencingToken;
	readonly partitions: ReadonlySet<number>;
};
