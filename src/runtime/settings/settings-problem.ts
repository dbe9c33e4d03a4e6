/** What is wrong with a TOML document. */

/** One mistake; the line is counted from 1 and present where it is known. */
export type SettingsProblem = {
	readonly key: string;
	readonly value: string;
	readonly expected: string;
	readonly line?: number;
};
