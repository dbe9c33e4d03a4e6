/** What may have been a pause of the process, as its clocks show it. */

/** `milliseconds` is the most that any clock shows; of these the steady clock counted `counted`. */
export type Pause = {readonly milliseconds: number; readonly monotonicMilliseconds: number};
