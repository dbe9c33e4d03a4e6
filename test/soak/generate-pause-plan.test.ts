/** Generated pause schedules. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {generatePausePlan} from '../../soak/generate-pause-plan.js';
import {pauseKinds} from '../../soak/pause-kinds.js';

test('the schedule is deterministic for a seed and differs between seeds', () => {
	assert.deepEqual(generatePausePlan(7, 60_000, 16_000), generatePausePlan(7, 60_000, 16_000));
	assert.notDeepEqual(generatePausePlan(7, 60_000, 16_000), generatePausePlan(8, 60_000, 16_000));
});

test('fifty seeds cover short and long pauses and every companion fault, and all end before the fault-free end', () => {
	const plans = Array.from({length: 50}, (_, seed) => generatePausePlan(seed, 90_000, 40_000));
	const faults = plans.flat();
	assert.deepEqual([...new Set(faults.map(({kind}) => kind))].sort(), [...new Set(Object.values(pauseKinds).flat())].sort());
	assert.equal(faults.every(({at, duration}) => at + duration <= 81_000), true);
	const pauses = faults.filter(({kind}) => kind.endsWith('-pause')).map(({duration}) => duration);
	assert.equal(pauses.some(duration => duration < 5000) && pauses.some(duration => duration > 30_000), true);
});
