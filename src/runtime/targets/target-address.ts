/** Where a target is. */
import type {InstanceId} from '../../base/instance-id.js';

/** As much of an instance as a request to it needs. */
export type TargetAddress = {
	readonly id: InstanceId;
	/** `IP:port` of its HTTP server. */
	readonly address: string;
};
