/** A wish in the arbiter's queue. */
import type {z} from 'zod';
import type {MemberId} from '../../base/member-id.js';
import type {PlacementRequest} from './placement-request.js';
import type {wantedTaskSchema} from './wanted-task.js';

/** The wish with its requester; times are the arbiter's own monotonic ones. */
export type WaitingTicket = {
	readonly requester: MemberId;
	readonly request: Extract<PlacementRequest, {kind: 'want'}>;
	readonly task: z.output<typeof wantedTaskSchema>;
	/** See `Placement.partitionOf`. */
	readonly partition: string;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** What the task is expected to take. */
	readonly expectedMilliseconds: number;
	/** Set when the wish was withdrawn or refused: the queue drops it when it comes to it. */
	isGone: boolean;
};
