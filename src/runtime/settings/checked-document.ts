/** The result of validating a TOML document. */
import type {SettingsProblem} from './settings-problem.js';

/** The validated value, or all problems that were found. */
export type CheckedDocument<Value> =
	| {readonly kind: 'valid'; readonly value: Value}
	| {readonly kind: 'invalid'; readonly problems: readonly SettingsProblem[]};
