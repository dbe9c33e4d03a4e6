/** Latest starts, weighted by priority. */
import type {RunningJob} from './running-job.js';

/** Delay per priority level: urgent queues go first among jobs of similar age without starving the others. */
const priorityStepMilliseconds = 150;

/** The monotonic time by which unstarted jobs are ranked. */
export function weightedStartOf({objectiveAt, expectedMilliseconds, job}: RunningJob): number {
	return objectiveAt - expectedMilliseconds + (job.route.priority * priorityStepMilliseconds);
}
