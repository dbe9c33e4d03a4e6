/** Determines the outcome of a job for its caller. */
import type {JobOutcome} from './job-outcome.js';
import type {JobTrace} from './job-trace.js';

/** Measures the time from the first submission. Without a logged objective, every answer counts as in time. */
export function outcomeOf(job: JobTrace): JobOutcome {
	if (job.end === undefined) {
		return 'unanswered';
	}

	if (job.end.verdict === 'notRun') {
		return 'refused';
	}

	if (job.end.verdict !== 'answered') {
		return 'givenUp';
	}

	const elapsed = job.end.at - job.firstAcceptedAt;
	return elapsed <= (job.objectiveMilliseconds ?? Number.POSITIVE_INFINITY) ? 'inTime' : 'late';
}
