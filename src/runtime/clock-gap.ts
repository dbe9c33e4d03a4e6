/** A difference between the monotonic clocks of two machines. */

/**
 * Time that only the other machine's clock counted, since the local monotonic time `since`. `requestedAt` is the local monotonic
 * time at which the other clock was requested: an answer to an earlier request may show only a part of a suspension. All in
 * milliseconds.
 */
export type ClockGap = {readonly milliseconds: number; readonly since: number; readonly requestedAt: number};
