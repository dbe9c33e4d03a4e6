/** Counting of runs between entries of two bundles. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SharedRuns} from '../../soak/shared-runs.js';

const startOf = (requester: string) => JSON.stringify({event: 'runStarted', requester});

// Guards against taking runs for a replaced entry's former process, or for entries of the same bundle, for runs across bundles.
test('only runs for a member of the other bundle count', () => {
	const runs = new SharedRuns();
	runs.observe('a', true, startOf('a#1'));
	runs.observe('b', true, startOf('b#1'));
	runs.observe('a', true, startOf('b#1'));
	assert.equal(runs.acrossBundles, 0);
	runs.observe('a', false, startOf('b#1'));
	runs.observe('a', false, startOf('a#2'));
	runs.observe('b', true, startOf('a#1'));
	assert.equal(runs.acrossBundles, 1);
	runs.observe('b', true, startOf('a#2'));
	runs.observe('b', true, startOf('unknown#1'));
	runs.observe('b', true, JSON.stringify({event: 'runRefused', requester: 'a#2'}));
	assert.equal(runs.acrossBundles, 2);
});
