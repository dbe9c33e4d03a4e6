/** Task in the arbiter's queue. */
import type {z} from 'zod';
import type {MemberId} from '../../base/member-id.js';
import type {PlacementRequest} from './placement-request.js';
import type {requestedTaskSchema} from './requested-task-schema.js';

/** A queued task and its requester; times are on the arbiter's monotonic clock. */
export type QueuedTask = {
	readonly requester: MemberId;
	readonly request: Extract<PlacementRequest, {kind: 'want'}>;
	readonly task: z.output<typeof requestedTaskSchema>;
	/** See `PlacementPolicy.partitionOf`. */
	readonly partition: string;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	readonly expectedMilliseconds: number;
	/** Set when the task was granted a slot, withdrawn or refused; the queue drops it lazily. */
	isRemoved: boolean;
};
