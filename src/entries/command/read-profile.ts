/** Reads a profile's TOML document. */
import {readFileSync} from 'node:fs';
import type {Profile} from '../../features/profiles/profile.js';
import {profileSchema} from '../../features/profiles/profile-schema.js';
import {formatProblem} from '../../runtime/settings/format-problem.js';
import {parseDocument} from '../../runtime/settings/parse-document.js';

/** Throws an error with one line for each validation problem. */
export function readProfile(file: string): Profile {
	const document = parseDocument(readFileSync(file, 'utf8'), profileSchema);
	if (document.kind === 'invalid') {
		throw new Error(document.problems.map(problem => formatProblem(file, problem)).join('\n'));
	}

	return document.value;
}
