/** The identity of an entry in the peer network. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';

/** One incarnation of an entry; `peerAddress` (`IP:port`) accepts peer connections. */
export type Member = {
	readonly id: MemberId;
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly peerAddress: string;
	/** Whether the entry receives texts exactly as sent; one of a former version receives only plain texts unchanged. */
	readonly hasExactTexts?: boolean;
};
