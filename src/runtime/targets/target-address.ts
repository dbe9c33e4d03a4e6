/** The address of a target. */
import type {InstanceId} from '../../base/instance-id.js';

/** Identifies a target and its HTTP endpoint. */
export type TargetAddress = {
	readonly id: InstanceId;
	/** `IP:port` of its HTTP server. */
	readonly address: string;
};
