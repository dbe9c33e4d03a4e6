/** An instance as the platform lists it. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';

/** An entry of ours, or a worker that runs a target. Addresses are `IP:port`. */
export type Instance = {
	readonly id: InstanceId;
	readonly kind: 'entry' | 'target';
	readonly zone: AvailabilityZone;
	/** Where it serves HTTP. */
	readonly address: string;
	/** Where an entry listens for its peers. */
	readonly peerAddress?: string;
	readonly state: 'live' | 'leaving';
	readonly rack?: string;
	/** Tasks that a target runs at once. */
	readonly slots?: number;
	readonly memoryMegabytes?: number;
	readonly accelerators?: number;
	readonly labels?: readonly string[];
};
