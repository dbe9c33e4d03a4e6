/** What an entry does for the reading of the list of targets. */

/** `undetermined`: it isn't known yet how many entries there are. */
export type ReaderRole = 'alone' | 'reader' | 'follower' | 'undetermined';
