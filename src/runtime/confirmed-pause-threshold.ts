/** The length of a pause after which other entries may have taken over. */

/** Callers resubmit a job elsewhere no sooner than this after losing an entry. */
export const confirmedPauseThresholdMilliseconds = 1200;
