/** Parsing and validation of TOML documents. */
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import type {CheckedDocument} from './checked-document.js';
import type {SettingsProblem} from './settings-problem.js';

/** Parses TOML and validates it against a schema. Lines are found by searching the text, since the parser doesn't keep them. */
export function parseDocument<Schema extends z.ZodType>(text: string, schema: Schema): CheckedDocument<z.output<Schema>> {
	let raw: unknown;
	try {
		raw = parse(text);
	} catch (error) {
		return {kind: 'invalid', problems: [syntaxProblem(error)]};
	}

	const checked = schema.safeParse(raw);
	if (checked.success) {
		return {kind: 'valid', value: checked.data};
	}

	return {kind: 'invalid', problems: checked.error.issues.flatMap(issue => problemsOf(issue, raw, text))};
}

function syntaxProblem(error: unknown): SettingsProblem {
	if (error instanceof TomlError) {
		return {
			key: '(document)', value: '', expected: error.message.split('\n')[0] ?? 'valid TOML', line: error.line,
		};
	}

	return {key: '(document)', value: '', expected: 'valid TOML'};
}

function problemsOf(issue: z.core.$ZodIssue, raw: unknown, text: string): readonly SettingsProblem[] {
	const path = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			key: [...path, key].join('.'),
			value: formatValue(valueAt(raw, [...path, key])),
			expected: 'no such key',
			line: lineOf(text, [...path, key]),
		}));
	}

	return [{
		key: path.join('.'), value: formatValue(valueAt(raw, path)), expected: issue.message, line: lineOf(text, path),
	}];
}

function valueAt(raw: unknown, path: readonly string[]): unknown {
	let value = raw;
	for (const key of path) {
		value = typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[key] : undefined;
	}

	return value;
}

function formatValue(value: unknown): string {
	return value === undefined ? '(absent)' : JSON.stringify(value);
}

/** Returns the line that assigns the path's last key within its table, or the line of the table's heading. */
function lineOf(text: string, path: readonly string[]): number | undefined {
	const heading = `[${path.slice(0, -1).join('.')}]`;
	const key = path.at(-1) ?? '';
	let isInTable = path.length === 1;
	let headingLine: number | undefined;
	for (const [index, line] of text.split('\n').entries()) {
		const trimmed = line.trim();
		if (trimmed.startsWith('[')) {
			isInTable = trimmed.startsWith(heading);
			headingLine = isInTable ? index + 1 : headingLine;
		} else if (isInTable && trimmed.split('=')[0]?.trim() === key) {
			return index + 1;
		}
	}

	return headingLine;
}
