/** Outcome of an answered job. */

/** `complete`: every task succeeded. `failed`: a task used up the attempts of its queue, or crashes its targets. */
export type JobOutcome = 'complete' | 'failed';
