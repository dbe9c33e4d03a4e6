/** Outcome of a job for its caller. */

/**
 * - `inTime`, `late`: answered within the objective, or after it.
 * - `refused`: answered that it did not run.
 * - `givenUp`: answered that it may have run.
 * - `unanswered`: no answer was logged.
 */
export type JobOutcome = 'inTime' | 'late' | 'refused' | 'givenUp' | 'unanswered';
