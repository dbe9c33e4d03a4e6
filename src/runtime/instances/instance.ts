/** An instance in the platform's list. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';

/** An entry, or a worker that runs a target. Addresses are `IP:port`. */
export type Instance = {
	readonly id: InstanceId;
	readonly kind: 'entry' | 'target';
	readonly zone: AvailabilityZone;
	/** Address of its HTTP server. */
	readonly address: string;
	/** Address at which an entry accepts peer connections. */
	readonly peerAddress?: string;
	readonly state: 'live' | 'leaving';
	readonly rack?: string;
	/** Number of tasks that a target runs concurrently. */
	readonly slots?: number;
	readonly memoryMegabytes?: number;
	readonly accelerators?: number;
	readonly labels?: readonly string[];
};
