/** Schedules of rolling replacements. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {planReplacements} from '../../soak/plan-replacements.js';

test('each entry is stopped once, at even intervals before the fault-free end', () => {
	const plan = planReplacements(6, 30_000);
	assert.deepEqual(plan.map(({index}) => index), [0, 1, 2, 3, 4, 5]);
	assert.deepEqual(plan.map(({at}) => at), [3000, 6000, 9000, 12_000, 15_000, 18_000]);
	assert.deepEqual([...new Set(plan.map(({kind}) => kind))], ['entry-stop']);
});
