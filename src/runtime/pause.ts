/** A possible pause of the process. */

/** `milliseconds` is the larger gap of the wall clock and the monotonic clock; `monotonicMilliseconds` that of the latter. */
export type Pause = {readonly milliseconds: number; readonly monotonicMilliseconds: number};
