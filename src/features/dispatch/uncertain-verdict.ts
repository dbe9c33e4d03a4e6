/** Answers about jobs of which nobody can tell whether they have run. */
import type {UncertaintyCause} from '../../base/uncertainty-cause.js';
import type {Verdict} from '../../base/verdict.js';
import type {JobOutcome} from './job-outcome.js';

/** The verdict on a job that is given up after something of it may have begun. */
export function uncertainVerdict(cause: UncertaintyCause, detail: string): Verdict<JobOutcome> {
	return {kind: 'mayHaveRun', cause, detail};
}
