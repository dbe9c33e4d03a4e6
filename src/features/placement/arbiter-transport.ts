/** Transport of messages to arbiters. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PlacementRequest} from './placement-request.js';

/** Also delivers messages addressed to this entry itself. */
export type ArbiterTransport = {
	readonly sendRequest: (to: MemberId, request: PlacementRequest) => void;
	/** Asks an entry of a zone which entry is the arbiter. */
	readonly queryArbiter: (of: Member, zone: AvailabilityZone) => void;
};
