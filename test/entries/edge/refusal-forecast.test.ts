/** Refusal by forecast in a fleet of entries. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {schedulingSettingsSchema} from '../../../src/features/dispatch/scheduling-settings-schema.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const names = ['a-1', 'a-2', 'b-1', 'b-2'];
const scheduling = schedulingSettingsSchema.parse({refusalForecast: {enabled: true}});

/** Each target has places for two tasks. Entries in `without` have the forecast disabled. */
function clusterOf(targetsInZone: number, without: readonly string[] = []): PooledCluster {
	return new PooledCluster(names, targetsInZone, (name, dependencies) => without.includes(name) ? dependencies : {...dependencies, scheduling});
}

/** Submits jobs of 8 tasks of 200 ms to all entries in turn, every 10 ms. */
async function overload(world: PooledCluster, milliseconds: number, entries: readonly string[] = names) {
	const jobs = [];
	for (let passed = 0; passed < milliseconds; passed += 10) {
		const name = entries[(passed / 10) % entries.length]!;
		jobs.push(world.submit(name, passed.toString(16).padStart(16, '0'), {tasks: 8, payload: '200', declaredMilliseconds: 200}));
		await world.advance(10);
	}

	return jobs;
}

// The 8 targets have 16 places; the load is five times what they can do.
test('under overload, jobs are refused at their arrival, once, as not run, and the figures are recorded', async () => {
	const world = clusterOf(4);
	await world.start();
	const jobs = await overload(world, 3000);
	await world.advance(2000);
	const late = world.journal.named('jobForecastLate');
	assert.ok(late.length > 50, `${late.length} refused`);
	const started = new Set(world.orders.starts.map(({task}) => String(task).slice(0, 16)));
	assert.deepEqual(late.filter(({job}) => started.has(String(job))), []);
	assert.deepEqual(jobs.filter(({verdict}) => verdict === undefined), []);
	const refused = new Set(late.map(({job}) => job));
	const ends = world.journal.named('jobEnded').filter(({job}) => refused.has(job));
	assert.equal(ends.length, late.length);
	assert.ok(ends.every(({verdict, tookMilliseconds}) => verdict === 'notRun' && tookMilliseconds === 0));
	assert.ok(late.some(({zones}) => zones === 2), 'the figures of the other zone must be used');
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against refusals that go on after the load.
test('after an overload, jobs are served at once', async () => {
	const world = clusterOf(4);
	await world.start();
	await overload(world, 1500);
	await world.advance(1500);
	const before = world.journal.named('jobForecastLate').length;
	const job = world.submit('b-2', 'ffffffffffffffff', {tasks: 8, payload: '200', declaredMilliseconds: 200});
	await world.advance(300);
	assert.deepEqual(job.verdict, {kind: 'answered', answer: 'complete'});
	assert.equal(world.journal.named('jobForecastLate').length, before);
});

// Guards against a forecast that takes the full targets of one entry for those of all.
// 160 places are needed, and there are 192.
test('no job is refused while targets of other entries are free', async () => {
	const world = clusterOf(48);
	await world.start();
	const jobs = await overload(world, 1500, ['a-1']);
	await world.advance(1500);
	assert.deepEqual(world.journal.named('jobForecastLate'), []);
	assert.ok(jobs.every(({verdict}) => verdict?.kind === 'answered'));
});

// Guards against a rolling change of the setting: entries without the forecast neither publish figures nor refuse.
test('entries with and without the forecast work together', async () => {
	const world = clusterOf(4, ['a-2', 'b-2']);
	await world.start();
	const jobs = await overload(world, 2000);
	await world.advance(2000);
	assert.deepEqual(jobs.filter(({verdict}) => verdict === undefined), []);
	assert.equal(world.entries.get('a-2')!.forecast, undefined);
	const refusedBy = new Set(world.journal.named('jobForecastLate').map(({job}) => names[(Number.parseInt(String(job), 16) / 10) % names.length]));
	assert.deepEqual(refusedBy, new Set(['a-1', 'b-1']));
	assert.deepEqual(world.journal.named('poolMessageUnreadable'), []);
});

test('with the forecast disabled, nothing is published and no job is refused by it', async () => {
	const world = clusterOf(4, names);
	const bodies: unknown[] = [];
	for (const endpoint of world.network.endpoints.values()) {
		endpoint.onDidReceive(({message}) => {
			bodies.push(message.body);
		});
	}

	await world.start();
	await overload(world, 1000);
	// A state without a backlog has six values.
	const states = bodies.flatMap(body => (body as readonly unknown[])[4] as ReadonlyArray<readonly unknown[]>).filter(([code]) => code === 0);
	assert.deepEqual([states.length > 100, states.filter(({length}) => length > 6)], [true, []]);
	assert.deepEqual(world.journal.named('jobForecastLate'), []);
});

// Guards against refusals by figures from before a suspension, after which capacity may be free.
test('an entry that was suspended during an overload refuses nothing by its figures of before', async () => {
	const world = clusterOf(4);
	await world.start();
	await overload(world, 1500, ['a-2', 'b-1', 'b-2']);
	world.pause('a-1', 'suspended');
	await world.advance(3000);
	world.resume('a-1');
	await world.advance(1500);
	const before = world.journal.named('jobForecastLate').length;
	const job = world.submit('a-1', 'ffffffffffffffff', {tasks: 8, payload: '200', declaredMilliseconds: 200});
	await world.advance(400);
	assert.deepEqual(job.verdict, {kind: 'answered', answer: 'complete'});
	assert.equal(world.journal.named('jobForecastLate').length, before);
});
