/** One change in a profile's history. */
import type {ChangeOutcome} from '../../features/profiles/change-outcome.js';
import type {ConfigurationRecord} from '../../features/profiles/configuration-record.js';

/** A change and its outcome. A change that was appended twice has two entries with the same outcome. */
export type HistoryEntry = {
	readonly offset: number;
	readonly change: Exclude<ConfigurationRecord, {kind: 'snapshot'}>;
	readonly outcome: ChangeOutcome;
};
