/** What an entry does for the reading of the list of targets. */

/** `unsettled`: it isn't known yet how many entries there are. */
export type ReadingRole = 'alone' | 'reader' | 'follower' | 'unsettled';
