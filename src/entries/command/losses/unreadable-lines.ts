/** Lines that tell nothing. */

/**
 * - `notAnEvent`: another program's line.
 * - `cut`: the begin of an event, as at the end of a file that is still written.
 * - `unknownEvent`: an event of another version.
 */
export type UnreadableLines = {notAnEvent: number; cut: number; unknownEvent: number};
