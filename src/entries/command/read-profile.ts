/** Reads a profile's TOML document. */
import {readFileSync} from 'node:fs';
import type {Profile} from '../../features/profiles/profile.js';
import {profileSchema} from '../../features/profiles/profile-schema.js';
import {describeProblem} from '../../runtime/settings/describe-problem.js';
import {readDocument} from '../../runtime/settings/read-document.js';

/** Throws an error with one line for each validation problem. */
export function readProfile(file: string): Profile {
	const document = readDocument(readFileSync(file, 'utf8'), profileSchema);
	if (document.kind === 'invalid') {
		throw new Error(document.problems.map(problem => describeProblem(file, problem)).join('\n'));
	}

	return document.value;
}
