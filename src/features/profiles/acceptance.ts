/** The result of offering records to the ledger. */
import type {Folded} from './folded.js';
import type {LedgerProblem} from './ledger-problem.js';

/** The records that were folded, in order, and what is wrong with the source, if anything. */
export type Acceptance = {
	readonly steps: readonly Folded[];
	readonly problem?: LedgerProblem;
};
