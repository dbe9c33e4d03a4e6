/** A problem in a TOML document. */

/** An invalid key or value; `expected` describes valid values, and `line` is 1-based if known. */
export type SettingsProblem = {
	readonly key: string;
	readonly value: string;
	readonly expected: string;
	readonly line?: number;
};
