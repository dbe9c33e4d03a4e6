/** How a job ended for its caller. */

/**
 * - `inTime`, `late`: answered, within its objective or after it.
 * - `refused`: told that it had not run.
 * - `givenUp`: told that it may have run.
 * - `unanswered`: no line tells of an answer.
 */
export type JobOutcome = 'inTime' | 'late' | 'refused' | 'givenUp' | 'unanswered';
