/** The primary registrar of a submission. */
import type {Member} from '../../runtime/peers/member.js';

/** This registrar, with its backup if the zone has another registrar, or another registrar. */
export type Primary =
	| {readonly kind: 'self'; readonly backup: Member | undefined}
	| {readonly kind: 'other'; readonly member: Member};
