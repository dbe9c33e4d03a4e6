/** The result of folding one record. */
import type {ChangeOutcome} from './change-outcome.js';
import type {Configuration} from './configuration.js';
import type {SkippedRecord} from './skipped-record.js';

/** The next state, and the outcome of the record. */
export type FoldResult = {
	readonly configuration: Configuration;
	readonly outcome?: ChangeOutcome;
	readonly skipped?: SkippedRecord;
	readonly isSnapshot?: boolean;
};
