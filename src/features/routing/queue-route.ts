/** Route from a host and path prefix to a queue. */
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';

/** Jobs with a matching host and path prefix belong to the queue; the longest matching prefix wins. */
export type QueueRoute = {
	readonly queue: ProfileName;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: ServiceName;
	/** 0 is the highest priority. */
	readonly priority: number;
	/** Failed runs of one task after which its job fails. */
	readonly attempts: number;
	/** A job's objective is `stretch` times its critical path, plus `slackMilliseconds`. */
	readonly stretch: number;
	readonly slackMilliseconds: number;
};
