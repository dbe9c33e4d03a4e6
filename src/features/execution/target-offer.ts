/** A target of this entry that a task can be started on. */
import type {InstanceId} from '../../base/instance-id.js';
import type {TargetSpeed} from './target-speed.js';

/** Valid until the next event. */
export type TargetOffer = TargetSpeed & {
	/** Whether the task is in time on the target, or speeds aren't taken into account. */
	readonly isInTime: boolean;
	/** Whether the published free capacity includes a target on which the task is in time, even if the task may not run on it. */
	readonly isInTimeByCapacity: boolean;
	/** Starts the run, and returns the target. */
	readonly accept: () => InstanceId;
};
