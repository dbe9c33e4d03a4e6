/** A route of the configuration. */
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';

/** Jobs whose host matches and whose path begins with the prefix belong to this queue; the longest prefix wins. */
export type QueueRoute = {
	readonly queue: ProfileName;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: ServiceName;
	/** 0 comes first. */
	readonly priority: number;
	/** So many failed runs of a task end its job. */
	readonly attempts: number;
	/** A job's objective is this many times its longest chain of work, and `slackMilliseconds` more. */
	readonly stretch: number;
	readonly slackMilliseconds: number;
};
