/** The result of folding one record. */
import type {ChangeOutcome} from './change-outcome.js';
import type {Configuration} from './configuration.js';
import type {SkippedRecord} from './skipped-record.js';

/** The next state, and what there is to say about the record. */
export type Folded = {
	readonly configuration: Configuration;
	readonly outcome?: ChangeOutcome;
	readonly skipped?: SkippedRecord;
	readonly isSnapshot?: boolean;
};
