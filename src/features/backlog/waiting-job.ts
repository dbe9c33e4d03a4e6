/** A job with tasks that wait for capacity. */
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';

/** What the backlog needs to know of a job; times are monotonic, in milliseconds. */
export type WaitingJob = {
	readonly queue: ProfileName;
	readonly service: ServiceName;
	/** Need of one task. */
	readonly cpuMillis: number;
	readonly expectedMilliseconds: number;
	readonly receivedAt: number;
	/** The latest start with which the job meets its objective. */
	readonly latestStart: number;
	/** The latest start by which the queue order ranks the job. */
	readonly weightedStart: number;
	readonly hasBegun: boolean;
	readonly waitingTasks: number;
};
