/** A job that is held in memory only. */
import type {JobId} from '../../base/job-id.js';
import type {QueueRoute} from '../routing/queue-route.js';
import type {TaskShape} from './task-shape.js';

/** The submitter waits for the answer, and resubmits the job under the same id if none arrives. */
export type BestEffortJob = {
	readonly id: JobId;
	readonly route: QueueRoute;
	readonly payload: string;
	/** Requirements that all tasks of the job share. */
	readonly shape: TaskShape;
	/** How long the submitter waits for the answer, in milliseconds from receipt. */
	readonly callerTimeoutMilliseconds: number;
};
