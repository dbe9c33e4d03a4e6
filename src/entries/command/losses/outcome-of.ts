/** What a job's caller got. */
import type {JobOutcome} from './job-outcome.js';
import type {JobTrace} from './job-trace.js';

/** Counted from its first submission. Where the log has no objective, answers count as in time. */
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

	const took = job.end.at - job.firstAcceptedAt;
	return took <= (job.objectiveMilliseconds ?? Number.POSITIVE_INFINITY) ? 'inTime' : 'late';
}
