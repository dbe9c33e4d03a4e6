/** How an entry reaches arbiters. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PlacementRequest} from './placement-request.js';

/** A message to this entry itself is delivered too. */
export type ArbiterTransport = {
	readonly sendRequest: (to: MemberId, request: PlacementRequest) => void;
	/** Asks an entry of a zone who the arbiter is. */
	readonly queryArbiter: (of: Member, zone: AvailabilityZone) => void;
};
