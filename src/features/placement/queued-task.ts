/** A wish in the arbiter's queue. */
import type {z} from 'zod';
import type {MemberId} from '../../base/member-id.js';
import type {PlacementRequest} from './placement-request.js';
import type {requestedTaskSchema} from './requested-task-schema.js';

/** The wish with its requester; times are the arbiter's own monotonic ones. */
export type QueuedTask = {
	readonly requester: MemberId;
	readonly request: Extract<PlacementRequest, {kind: 'want'}>;
	readonly task: z.output<typeof requestedTaskSchema>;
	/** See `Placement.partitionOf`. */
	readonly partition: string;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** What the task is expected to take. */
	readonly expectedMilliseconds: number;
	/** Set when the wish was withdrawn or refused: the queue drops it when it comes to it. */
	isRemoved: boolean;
};
