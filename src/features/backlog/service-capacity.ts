/** What the targets of one service can do. */
import type {ServiceName} from '../../base/service-name.js';

/** Sums over the targets that accept tasks; full targets count in the total. */
export type ServiceCapacity = {
	readonly service: ServiceName;
	readonly totalCpuMillis: number;
	readonly freeCpuMillis: number;
	/** The most that a single target has free. The sum of all says little: it may consist of parts too small for any task. */
	readonly largestFreeCpuMillis: number;
	/** Runs that end in a second, by those of the last second. */
	readonly endedTasks: number;
};
