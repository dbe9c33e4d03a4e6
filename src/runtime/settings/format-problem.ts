/** Wording of a mistake in a TOML document. */
import type {SettingsProblem} from './settings-problem.js';

/** One line that names the place, the key, the value and what is allowed. */
export function formatProblem(file: string, problem: SettingsProblem): string {
	const place = problem.line === undefined ? file : `${file}:${problem.line}`;
	const value = problem.value === '' ? '' : ` = ${problem.value}`;
	return `${place}: ${problem.key}${value}: ${problem.expected}`;
}
