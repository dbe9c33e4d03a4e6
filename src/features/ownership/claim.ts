/** Ownership of partitions of targets. */
import type {FencingToken} from '../../base/fencing-token.js';

/** The owned partitions of a group, and the fencing token for orders to their targets. */
export type Claim = {
	readonly fence: FencingToken;
	readonly partitions: ReadonlySet<number>;
};
