/** The roles of an entry in reading the target list. */

/** `alone`: reads for itself only. `undetermined`: the size of the fleet isn't known yet. */
export type ReaderRole = 'alone' | 'reader' | 'follower' | 'undetermined';
