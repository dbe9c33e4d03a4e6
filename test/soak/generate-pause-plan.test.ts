/** Generated pause schedules. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {generatePausePlan} from '../../soak/generate-pause-plan.js';
import {pauseKinds} from '../../soak/pause-kinds.js';
import {suspensionKinds} from '../../soak/suspension-kinds.js';

test('the schedule is deterministic for a seed and differs between seeds', () => {
	assert.deepEqual(generatePausePlan(7, 60_000, 16_000), generatePausePlan(7, 60_000, 16_000));
	assert.notDeepEqual(generatePausePlan(7, 60_000, 16_000), generatePausePlan(8, 60_000, 16_000));
});

test('fifty seeds cover short and long pauses and every companion fault, and all end before the fault-free end', () => {
	const plans = Array.from({length: 50}, (_, seed) => generatePausePlan(seed, 90_000, 40_000));
	const faults = plans.flat();
	assert.deepEqual([...new Set(faults.map(({kind}) => kind))].sort(), [...new Set([...pauseKinds.pauses, ...pauseKinds.companions])].sort());
	assert.equal(faults.every(({at, duration}) => at + duration <= 81_000), true);
	const pauses = faults.filter(({kind}) => kind.endsWith('-pause')).map(({duration}) => duration);
	assert.equal(pauses.some(duration => duration < 5000) && pauses.some(duration => duration > 30_000), true);
});

test('suspensions have a schedule of their own, which leaves that of the pauses as it is', () => {
	const suspensions = generatePausePlan(7, 60_000, 6000, suspensionKinds);
	assert.deepEqual(suspensions, generatePausePlan(7, 60_000, 6000, suspensionKinds));
	assert.notDeepEqual(suspensions.map(({at}) => at), generatePausePlan(7, 60_000, 6000).map(({at}) => at));
});

test('fifty seeds cover suspensions of one entry and of a third, and every companion fault, and all end before the fault-free end', () => {
	const faults = Array.from({length: 50}, (_, seed) => generatePausePlan(seed, 60_000, 6000, suspensionKinds)).flat();
	assert.deepEqual([...new Set(faults.map(({kind}) => kind))].sort(), [...new Set([...suspensionKinds.pauses, ...suspensionKinds.companions])].sort());
	assert.equal(faults.every(({at, duration}) => at + duration <= 51_000), true);
	const durations = faults.filter(({kind}) => kind.endsWith('-suspend')).map(({duration}) => duration);
	assert.equal(durations.some(duration => duration < 1500) && durations.some(duration => duration > 5000), true);
});
