/** Tests of the problems reported for invalid settings. */
import {test} from 'node:test';
import {entrySettingsSchema} from '../../../src/runtime/settings/entry-settings.js';
import {formatProblem} from '../../../src/runtime/settings/format-problem.js';
import {parseDocument} from '../../../src/runtime/settings/parse-document.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matchSnapshot = createSnapshotMatcher(import.meta.url);

const valid = `[entry]
instance = "entry-1"
zone = "zone-1"
zones = ["zone-1", "zone-2"]
address = "127.0.0.1"

[platform]
logUrl = "http://127.0.0.1:8001"
instanceListUrl = "http://127.0.0.1:8002"

[peers]
key = "a key of enough characters"
`;

function problemsOf(text: string): unknown {
	const document = parseDocument(text, entrySettingsSchema);
	return document.kind === 'valid' ? 'valid' : document.problems.map(problem => formatProblem('entry.toml', problem));
}

test('problems name the line, the key, its value and the expected value', () => {
	const cases = {
		valid,
		'wrong type': valid.replace('"127.0.0.1"\n', '127\n'),
		'unknown key': `${valid}keyy = "twice"\n`,
		'missing table': valid.replace('[peers]\nkey = "a key of enough characters"\n', ''),
		'zone that is not listed': valid.replace('zone = "zone-1"', 'zone = "zone-9"'),
		'port out of range': valid.replace('[platform]', 'httpPort = 70000\n\n[platform]'),
		'no TOML': 'entry = [',
	};
	for (const [name, text] of Object.entries(cases)) {
		matchSnapshot(name, problemsOf(text));
	}
});
