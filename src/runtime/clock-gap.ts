/** Time that another machine's steady clock counted and this one's did not. */

/** `since` is the monotonic time from which on the two were compared. */
export type ClockGap = {readonly milliseconds: number; readonly since: number};
