/** The traffic of the users' desks. */
import type {JobClass} from './job-class.js';

/**
 * Rates, widths, run times and worth as the users state them for a busy day: short wide checks, long sheets, and many small
 * status queries. Together 55 task-seconds a second.
 */
export const deskClasses: readonly JobClass[] = [
	{
		name: 'check', jobsPerSecond: 24.1, meanTasks: 8, taskMilliseconds: 60, worth: 0.0291, priority: 0,
	},
	{
		name: 'sheet', jobsPerSecond: 4.38, meanTasks: 4, taskMilliseconds: 900, worth: 0.16, priority: 2,
	},
	{
		name: 'query', jobsPerSecond: 70, meanTasks: 2, taskMilliseconds: 200, worth: 0.01, priority: 1,
	},
];
