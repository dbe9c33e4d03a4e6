/** Verdicts for jobs with an unknown outcome. */
import type {UncertaintyCause} from '../../base/uncertainty-cause.js';
import type {Verdict} from '../../base/verdict.js';
import type {JobOutcome} from './job-outcome.js';

/** The verdict for a job that ends after any of its tasks may have started. */
export function uncertainVerdict(cause: UncertaintyCause, detail: string): Verdict<JobOutcome> {
	return {kind: 'mayHaveRun', cause, detail};
}
