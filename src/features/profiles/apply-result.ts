/** The result of applying records to the configuration replica. */
import type {FoldResult} from './fold-result.js';
import type {SourceProblem} from './source-problem.js';

/** The applied records in order, and the inconsistency found in their source, if any. */
export type ApplyResult = {
	readonly steps: readonly FoldResult[];
	readonly problem?: SourceProblem;
};
