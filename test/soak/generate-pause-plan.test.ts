/** Plans of pauses. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {generatePausePlan} from '../../soak/generate-pause-plan.js';
import {pauseKinds} from '../../soak/pause-kinds.js';

test('a seed always gives the same pauses, and another one others', () => {
	assert.deepEqual(generatePausePlan(7, 60_000, 16_000), generatePausePlan(7, 60_000, 16_000));
	assert.notDeepEqual(generatePausePlan(7, 60_000, 16_000), generatePausePlan(8, 60_000, 16_000));
});

test('fifty seeds have pauses of every length, with every fault beside them, and all are over before the quiet end', () => {
	const plans = Array.from({length: 50}, (_, seed) => generatePausePlan(seed, 90_000, 40_000));
	const faults = plans.flat();
	assert.deepEqual([...new Set(faults.map(({kind}) => kind))].sort(), [...new Set(Object.values(pauseKinds).flat())].sort());
	assert.equal(faults.every(({at, lasts}) => at + lasts <= 81_000), true);
	const pauses = faults.filter(({kind}) => kind.endsWith('-pause')).map(({lasts}) => lasts);
	assert.equal(pauses.some(lasts => lasts < 5000) && pauses.some(lasts => lasts > 30_000), true);
});
