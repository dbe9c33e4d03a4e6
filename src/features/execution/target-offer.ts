/** A target of this entry that a task can be started on. */
import type {InstanceId} from '../../base/instance-id.js';
import type {TargetSpeed} from './target-speed.js';

/** `isInTime` is set if the task is in time on the target, or if speeds aren't taken into account. Valid until the next event. */
export type TargetOffer = TargetSpeed & {
	readonly isInTime: boolean;
	/** Starts the run, and returns the target. */
	readonly accept: () => InstanceId;
};
