/** The arbiter of a zone as an entry knows it. */
import type {MemberId} from '../../base/member-id.js';

/** The office's holder; a higher epoch wins over a lower one, and among equals the greater id. */
export type Holder = {
	readonly member: MemberId;
	readonly epoch: number;
};
