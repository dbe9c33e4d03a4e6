/** Plans of faults. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {generateFaultPlan} from '../../soak/generate-fault-plan.js';
import {faultKinds} from '../../soak/fault-kinds.js';

test('a seed always gives the same faults, and another one others', () => {
	assert.deepEqual(generateFaultPlan(7, 60_000), generateFaultPlan(7, 60_000));
	assert.notDeepEqual(generateFaultPlan(7, 60_000), generateFaultPlan(8, 60_000));
});

test('fifty seeds have every kind of fault, and every fault is over before the quiet end', () => {
	const plans = Array.from({length: 50}, (_, seed) => generateFaultPlan(seed, 30_000));
	const drawn = new Set(plans.flat().map(({kind}) => kind));
	assert.deepEqual([...drawn].sort(), [...faultKinds].sort());
	assert.equal(plans.flat().every(({at, lasts}) => at + lasts <= 21_000), true);
});
