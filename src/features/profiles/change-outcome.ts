/** What became of an operator's change. */
import type {ConfigurationRecord} from './configuration-record.js';

type Snapshot = Extract<ConfigurationRecord, {kind: 'snapshot'}>;

/** The same on every entry, since the order of the log alone decides. */
export type ChangeOutcome = Snapshot['changes'][number];
