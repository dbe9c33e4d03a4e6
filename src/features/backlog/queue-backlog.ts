/** The work of one queue that waits for capacity. */
import type {ProfileName} from '../../base/profile-name.js';

/** Tasks that can still start in time; late ones are left out, since they rank behind all of these. */
export type QueueBacklog = {
	readonly queue: ProfileName;
	readonly tasks: number;
	/** The sum of the needs of the tasks, in thousandths of a core. */
	readonly cpuMillis: number;
	/** The expected run times of the tasks times their cores. */
	readonly coreMilliseconds: number;
	/** The part of the tasks whose jobs have begun; these rank before all jobs that have not. */
	readonly begunTasks: number;
	readonly begunCoreMilliseconds: number;
	/** How long the oldest job that has not begun has waited. */
	readonly oldestMilliseconds: number;
	/** From now to the weighted latest start of that job. */
	readonly laxityMilliseconds: number;
};
