/** Counts of lines that are not events. */

/**
 * - `notAnEvent`: another program's line.
 * - `cut`: a truncated event, as at the end of a file that is still being written.
 * - `unknownEvent`: an event of another version.
 */
export type UnreadableLines = {notAnEvent: number; cut: number; unknownEvent: number};
