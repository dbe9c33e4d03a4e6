/** Jobs of the desks' traffic for a fleet in memory. */
import {Random} from '../src/base/random.js';
import type {PooledCluster} from '../test/support/pooled-cluster.js';

const stepMilliseconds = 5;
const seed = 1;
/** The desks' traffic, by share of jobs: tasks of a job, and the milliseconds that each runs. */
const mix = [
	{share: 0.71, tasks: 2, milliseconds: 200},
	{share: 0.95, tasks: 8, milliseconds: 60},
	{share: 1, tasks: 4, milliseconds: 900},
] as const;

/** The jobs per second are those of each entry. */
type FleetLoad = {readonly jobsPerSecond: number; readonly milliseconds: number};

/** Submits jobs to every entry alike, at random times that the seed fixes. Returns how many tasks were submitted. */
export async function submitLoad(world: PooledCluster, names: readonly string[], {jobsPerSecond, milliseconds}: FleetLoad): Promise<number> {
	const random = new Random(seed);
	let jobs = 0;
	let tasks = 0;
	for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
		for (const name of names) {
			if (random.fraction() < jobsPerSecond * stepMilliseconds / 1000) {
				const draw = random.fraction();
				const kind = mix.find(({share}) => draw <= share)!;
				jobs += 1;
				tasks += kind.tasks;
				world.submit(name, jobs.toString(16).padStart(16, '0'), {tasks: kind.tasks, payload: String(kind.milliseconds), declaredMilliseconds: kind.milliseconds});
			}
		}

		await world.advance(stepMilliseconds);
	}

	return tasks;
}
