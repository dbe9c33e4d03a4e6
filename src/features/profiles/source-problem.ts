/** Inconsistencies between a source of configuration records and the applied records. */

/**
 * `wentBack`: the log ends before the applied offset; `replaced`: the log or a peer has a different record at an applied
 * offset; `trimmed`: records were removed that no snapshot covers.
 */
export type SourceProblem = 'wentBack' | 'replaced' | 'trimmed';
