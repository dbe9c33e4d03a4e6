/** Property test of the registry under random sequences of faults. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import {registryCounterexamples} from './registry-counterexamples.js';
import {applyStep, type RegistryStep} from './registry-step.js';
import {RegistrySimulation} from './registry-simulation.js';

const seed = Number(process.env.PROPERTY_SEED ?? 20_261_202);
const runs = Number(process.env.PROPERTY_RUNS ?? 300);
const ids = ['a', 'b', 'c', 'd'] as SubmissionId[];

const entry = fc.nat({max: 4});
const stepArbitrary: fc.Arbitrary<RegistryStep> = fc.oneof(
	{
		weight: 8, arbitrary: fc.record({
			kind: fc.constant('submit' as const), entry, id: fc.constantFrom(...ids), run: fc.constantFrom(100, 800, 4000),
		}),
	},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('advance' as const), milliseconds: fc.constantFrom(50, 100, 300, 1000, 2500)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), entry})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('pause' as const), entry, milliseconds: fc.constantFrom(300, 1400, 3000, 9000)})},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('cut' as const), entry, other: entry, isMutual: fc.boolean(),
		}),
	},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('add' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('leave' as const), entry})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('losePlatform' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('delist' as const), entry})},
);

async function playSteps(simulation: RegistrySimulation, steps: readonly RegistryStep[]): Promise<void> {
	await simulation.advance(2000);
	for (const step of steps) {
		await applyStep(simulation, step);
	}

	simulation.heal();
	await simulation.advance(12_000);
}

const examples = registryCounterexamples.flatMap(steps => [3, 2].map(entries => [[...steps], entries] as [RegistryStep[], number]));

/** Checks the invariants of the registry. */
function checkInvariants(simulation: RegistrySimulation): void {
	for (const [id, starts] of simulation.starts) {
		assert.ok(starts.length <= 1, `${id} was started ${starts.length} times`);
	}

	for (const {id, verdict, startsAtConclusion} of simulation.conclusions) {
		assert.ok(verdict.kind !== 'notRun' || startsAtConclusion === 0, `${id} was called not run after its start`);
		if (verdict.kind === 'answered' && verdict.answer.kind === 'complete') {
			assert.deepEqual(verdict.answer.results, [`${id} by ${simulation.starts.get(id)?.[0]}`]);
		}
	}
}

function propertyWith(bug: ConstructorParameters<typeof RegistrySimulation>[0]) {
	// With three entries a record can be lost in more ways than with two.
	return fc.asyncProperty(fc.array(stepArbitrary, {minLength: 5, maxLength: 40}), fc.constantFrom(3, 2), async (steps, entries) => {
		const simulation = new RegistrySimulation(bug, entries);
		await playSteps(simulation, steps);
		checkInvariants(simulation);
	});
}

test('under random faults a submission starts at most once, and every verdict is true', async () => {
	await fc.assert(propertyWith('none'), {seed, numRuns: runs, examples});
});

for (const bug of ['copies are not written', 'joining registrars receive no records', 'losses of unreachable peers are trusted'] as const) {
	test(`the property detects that ${bug}`, async context => {
		const details = await fc.check(propertyWith(bug), {
			seed, numRuns: runs * 4, endOnFailure: true, examples,
		});
		assert.ok(details.failed, `no counterexample in ${details.numRuns} runs`);
		assert.match(String(details.errorInstance), /was started 2 times|called not run after its start/v);
		context.diagnostic(`found after ${details.numRuns} runs`);
	});
}
