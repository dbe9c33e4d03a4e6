/** Reads TOML against a schema, for settings and for profiles. */
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import type {CheckedDocument} from './checked-document.js';
import type {SettingsProblem} from './settings-problem.js';

/** Parses and checks; finds each wrong key's line by its name, which TOML parsers don't keep. */
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
			value: shown(valueAt(raw, [...path, key])),
			expected: 'no such key',
			line: lineOf(text, [...path, key]),
		}));
	}

	return [{
		key: path.join('.'), value: shown(valueAt(raw, path)), expected: issue.message, line: lineOf(text, path),
	}];
}

function valueAt(raw: unknown, path: readonly string[]): unknown {
	let value = raw;
	for (const key of path) {
		value = typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[key] : undefined;
	}

	return value;
}

function shown(value: unknown): string {
	return value === undefined ? '(absent)' : JSON.stringify(value);
}

/** The line that assigns the path's last key below the path's table heading, or the heading's own line. */
function lineOf(text: string, path: readonly string[]): number | undefined {
	const heading = `[${path.slice(0, -1).join('.')}]`;
	const key = path.at(-1) ?? '';
	let inside = path.length === 1;
	let headingLine: number | undefined;
	for (const [index, line] of text.split('\n').entries()) {
		const trimmed = line.trim();
		if (trimmed.startsWith('[')) {
			inside = trimmed.startsWith(heading);
			headingLine = inside ? index + 1 : headingLine;
		} else if (inside && trimmed.split('=')[0]?.trim() === key) {
			return index + 1;
		}
	}

	return headingLine;
}
