/** Generated fault schedules. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {generateFaultPlan} from '../../soak/generate-fault-plan.js';
import {faultKinds} from '../../soak/fault-kinds.js';

test('the schedule is deterministic for a seed and differs between seeds', () => {
	assert.deepEqual(generateFaultPlan(7, 60_000), generateFaultPlan(7, 60_000));
	assert.notDeepEqual(generateFaultPlan(7, 60_000), generateFaultPlan(8, 60_000));
});

test('fifty seeds cover every kind of fault, and all faults end before the fault-free end', () => {
	const plans = Array.from({length: 50}, (_, seed) => generateFaultPlan(seed, 30_000));
	const generated = new Set(plans.flat().map(({kind}) => kind));
	assert.deepEqual([...generated].sort(), [...faultKinds].sort());
	assert.equal(plans.flat().every(({at, duration}) => at + duration <= 21_000), true);
});
