/** The result of reading a TOML document against a schema. */
import type {SettingsProblem} from './settings-problem.js';

/** The document's value, or everything that is wrong with it. */
export type CheckedDocument<Value> =
	| {readonly kind: 'valid'; readonly value: Value}
	| {readonly kind: 'invalid'; readonly problems: readonly SettingsProblem[]};
