/** Limits of submitted jobs. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {jobSchema} from '../../platform/job-schema.js';

// Guards against payloads that are up to three times as long as targets have to accept.
test('the limit of a payload counts bytes of UTF-8', () => {
	const characters = [['a', 1], ['\u00E9', 2], ['\uFEFF', 3], ['\u4E2D', 3], ['\uD83D', 3], ['\u{1F600}', 4]] as const;
	for (const [character, bytes] of characters) {
		const longest = character.repeat(Math.floor(4000 / bytes)) + 'a'.repeat(4000 % bytes);
		const accepted = [longest, `${longest}a`].map(spec => jobSchema.safeParse({spec, best_effort: true, steps: [{count: 1}]}).success);
		assert.deepEqual(accepted, [true, false], JSON.stringify(character));
	}
});
