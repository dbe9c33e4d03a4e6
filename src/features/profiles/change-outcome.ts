/** The outcome of an operator's change. */
import type {ConfigurationRecord} from './configuration-record.js';

type Snapshot = Extract<ConfigurationRecord, {kind: 'snapshot'}>;

/** Identical on every entry, because it depends only on the order of the log. */
export type ChangeOutcome = Snapshot['changes'][number];
