/** Formatting of settings problems. */
import type {SettingsProblem} from './settings-problem.js';

/** Formats a problem on one line: file and line, key, actual value, expected value. */
export function formatProblem(file: string, problem: SettingsProblem): string {
	const location = problem.line === undefined ? file : `${file}:${problem.line}`;
	const value = problem.value === '' ? '' : ` = ${problem.value}`;
	return `${location}: ${problem.key}${value}: ${problem.expected}`;
}
