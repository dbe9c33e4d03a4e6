/** A job that lives only in memory. */
import type {JobId} from '../../base/job-id.js';
import type {QueueRoute} from '../routing/queue-route.js';
import type {TaskShape} from './task-shape.js';

/** Its submitter waits for the end, and submits it again with the same id when no answer comes. */
export type BestEffortJob = {
	readonly id: JobId;
	readonly route: QueueRoute;
	readonly payload: string;
	/** One step of equal tasks. */
	readonly shape: TaskShape;
	/** How long the submitter waits for an answer, from now. */
	readonly callerTimeoutMilliseconds: number;
};
