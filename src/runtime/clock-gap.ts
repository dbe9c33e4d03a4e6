/** A difference between the monotonic clocks of two machines. */

/**
 * Time that only the other machine's clock counted, since the local monotonic time `since`. The other clock was compared with
 * readings from `comparedSince` on, and was requested at `requestedAt`: an answer to an earlier request may show only a part of a
 * suspension. Local times are monotonic; all in milliseconds.
 */
export type ClockGap = {readonly milliseconds: number; readonly since: number; readonly comparedSince: number; readonly requestedAt: number};
