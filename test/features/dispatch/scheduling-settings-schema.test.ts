/** Tests of the scheduling settings. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {schedulingSettingsSchema} from '../../../src/features/dispatch/scheduling-settings-schema.js';
import {formatProblem} from '../../../src/runtime/settings/format-problem.js';
import {parseDocument} from '../../../src/runtime/settings/parse-document.js';

function problemsOf(text: string): readonly string[] {
	const checked = parseDocument(text, schedulingSettingsSchema);
	return checked.kind === 'valid' ? [] : checked.problems.map(problem => formatProblem('scheduling.toml', problem));
}

// Guards against a part that is in force although nobody has enabled it.
test('without a key a part is disabled', () => {
	assert.deepEqual(schedulingSettingsSchema.parse({}), {
		targetSpeeds: {enabled: false}, refusalForecast: {enabled: false},
	});
});

// Guards against a misspelt key that silently leaves a part as it was.
test('an unknown key is reported with its line', () => {
	assert.deepEqual(problemsOf('[targetSpeeds]\nenabled = true\nmargin = 2\n'), ['scheduling.toml:3: targetSpeeds.margin = 2: no such key']);
});

// Guards against a value of another type that is taken for a switch.
test('a value of another type is reported with its line and what is expected', () => {
	assert.deepEqual(problemsOf('[refusalForecast]\nenabled = "yes"\n'), ['scheduling.toml:2: refusalForecast.enabled = "yes": Invalid input: expected boolean, received string']);
});

// Guards against a deployment that can't start because of the file that it ships.
test('the file of the deployment is valid', () => {
	assert.deepEqual(problemsOf(readFileSync('deploy/scheduling.toml', 'utf8')), []);
});
