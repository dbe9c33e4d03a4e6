/** What can be wrong with a source of configuration records. */

/**
 * `wentBack`: the log ends before what is in force; `replaced`: the log or a peer has another record where one was
 * folded; `trimmed`: records are gone that no snapshot stands for.
 */
export type LedgerProblem = 'wentBack' | 'replaced' | 'trimmed';
