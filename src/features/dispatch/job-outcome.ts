/** How a job ended. */

/** `complete`: every task ended well. `failed`: a task failed as often as its queue allows. */
export type JobOutcome = 'complete' | 'failed';
