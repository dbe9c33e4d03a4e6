/** An entry as its peers know it. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';

/** One life of an entry and where it listens for peers (`IP:port`). */
export type Member = {
	readonly id: MemberId;
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly peerAddress: string;
};
