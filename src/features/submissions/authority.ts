/** Who decides on a submission. */
import type {Member} from '../../runtime/peers/member.js';

/** This registrar with the holder of the copy, if the zone has one; or another one; or nobody at present. */
export type Authority =
	| {readonly kind: 'own'; readonly backup: Member | undefined}
	| {readonly kind: 'other'; readonly member: Member};
