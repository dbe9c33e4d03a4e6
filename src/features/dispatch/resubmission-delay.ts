/** How long after a loss or a missing answer callers submit a job again, in milliseconds. */
export const resubmissionDelayMilliseconds = 1300;
