/** Arbiter of a zone as known to an entry. */
import type {MemberId} from '../../base/member-id.js';

/** Holder of the arbiter role. The higher epoch takes precedence, then the greater member id. */
export type Holder = {
	readonly member: MemberId;
	readonly epoch: number;
};
