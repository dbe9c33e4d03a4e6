/** Detection of runs that take much longer than expected. */
import type {Run} from './run.js';

/** A run that takes more than this multiple of its expected duration makes its target suspect. */
const suspectDurationFactor = 2.2;
/** A run that takes more than this multiple of its expected duration is attributed to its target. */
const overdueDurationFactor = 3;
/** From this number on, suspect runs on one target are attributed to the target: it is unlikely that all of them are just long. */
const minSuspectsForOverdue = 2;
/** Added to the expected duration, so that network latency doesn't make very short tasks overdue. */
const overdueSlackMilliseconds = 20;

/** Overdue runs at the time of a report. */
type Findings = {
	/** Runs that take much longer than expected; any of them may just be long. */
	readonly suspects: readonly Run[];
	/** Runs whose duration is attributed to the target. */
	readonly overdue: readonly Run[];
};

/**
 * Returns the runs that were overdue at the time of a report, which is monotonic. The allowance is the factor by which all runs
 * may take longer on their target: a slow target isn't a faulty one.
 */
export function findOverdueRuns(runs: Iterable<Run>, reportedAt: number, allowance = 1): Findings {
	const suspects = [...runs].filter(run => run.state === 'running' && exceeds(run, reportedAt, allowance * suspectDurationFactor));
	const overdue = suspects.length >= minSuspectsForOverdue ? suspects : suspects.filter(run => exceeds(run, reportedAt, allowance * overdueDurationFactor));
	return {suspects, overdue};
}

function exceeds(run: Run, reportedAt: number, factor: number): boolean {
	return reportedAt - run.startedAt > (factor * run.slowdown * run.request.expectedMilliseconds) + overdueSlackMilliseconds;
}
