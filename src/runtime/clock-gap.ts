/** A difference between the monotonic clocks of two machines. */

/** Time that only the other machine's clock counted, since the local monotonic time `since`; both in milliseconds. */
export type ClockGap = {readonly milliseconds: number; readonly since: number};
