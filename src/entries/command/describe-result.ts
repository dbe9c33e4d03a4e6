/** Formats change results as text and maps them to exit codes. */
import {match} from 'ts-pattern';
import type {ChangeResult} from './change-result.js';
import {exitCode} from './exit-code.js';

/** The final line of the command's output, and its exit code. */
export function describeResult(result: ChangeResult): {readonly line: string; readonly code: number} {
	return match(result)
		.with({kind: 'inForce'}, ({revision, entries, milliseconds}) => ({
			line: `in force on ${entries} of ${entries} entries after ${milliseconds} ms (revision ${revision})`, code: exitCode.done,
		}))
		.with({kind: 'notYetEverywhere'}, ({revision, entries, missing}) => ({
			line: `accepted as revision ${revision}; not yet seen on ${missing.join(', ')} (${entries - missing.length} of ${entries} entries have it)`, code: exitCode.notYetEverywhere,
		}))
		.with({kind: 'rejected'}, ({cause, winner}) => ({
			line: `rejected: ${causeTexts[cause] ?? cause}${winner === undefined ? '' : ` (revision ${winner} stands)`}`, code: exitCode.rejected,
		}))
		.with({kind: 'notAppended'}, ({detail}) => ({line: `nothing was changed: ${detail}`, code: exitCode.failed}))
		.with({kind: 'unknown'}, ({changeId, detail}) => ({
			line: `unknown: the outcome of the change could not be read from the log (${detail}); find out with: savorylock settle ${changeId}`, code: exitCode.unknown,
		}))
		.exhaustive();
}

const causeTexts: Readonly<Record<string, string>> = {
	exists: 'a profile of this name is in force; revise it instead',
	absent: 'no profile of this name is in force; publish it instead',
	superseded: 'another change came first',
};
