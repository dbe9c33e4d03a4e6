/** What a fleet of entries sends and calls, counted in memory: the same figures in every run. */
import {Random} from '../src/base/random.js';
import {PooledCluster} from '../test/support/pooled-cluster.js';

/** Long enough for all entries to have met and to own their targets. */
const settlingMilliseconds = 3000;
const idleMilliseconds = 2000;
const stepMilliseconds = 5;
const seed = 1;
/** The desks' traffic, by share of jobs: tasks of a job, and the milliseconds that each runs. */
const mix = [
	{share: 0.71, tasks: 2, milliseconds: 200},
	{share: 0.95, tasks: 8, milliseconds: 60},
	{share: 1, tasks: 4, milliseconds: 900},
] as const;

/** Each target has room for two tasks of the mix. */
type FleetSize = {readonly zones: number; readonly entriesInZone: number; readonly targetsInZone: number};
type FleetLoad = {readonly jobsPerSecond: number; readonly milliseconds: number};

/** Counts of one run; `idle` ones are without any job, a second and an entry. */
type FleetCounts = {
	readonly entries: number;
	readonly idleFrames: number;
	readonly idleCalls: number;
	/** Connections that an entry keeps to others, on average. */
	readonly neighbours: number;
	readonly framesPerTask: number;
	/** Frames of the loaded fleet beyond those of the idle one. */
	readonly addedFramesPerTask: number;
	readonly callsPerTask: number;
	/** Starts that their target's owner had no room for, of those that were sent to other entries. */
	readonly refusedShare: number;
};

/** Jobs arrive at every entry alike, at random times that the seed fixes. */
export async function countFleet({zones, entriesInZone, targetsInZone}: FleetSize, {jobsPerSecond, milliseconds}: FleetLoad): Promise<FleetCounts> {
	const names = Array.from({length: zones * entriesInZone}, (_, index) => `z${index % zones}-${Math.floor(index / zones)}`);
	const world = new PooledCluster(names, targetsInZone);
	await world.startWithPeerList();
	await world.advance(settlingMilliseconds);
	const idleFrom = totalsOf(world);
	await world.advance(idleMilliseconds);
	const idleTo = totalsOf(world);
	const neighbours = [...world.entries.values()].reduce((sum, {pool}) => sum + [...pool.members].length, 0);
	const tasks = await load(world, names, jobsPerSecond, milliseconds);
	const loadedTo = totalsOf(world);
	const perIdleSecond = (count: number) => rounded(count * 1000 / idleMilliseconds / names.length);
	const idleShare = milliseconds / idleMilliseconds;
	const loadedFrames = loadedTo.frames - idleTo.frames;
	return {
		entries: names.length,
		idleFrames: perIdleSecond(idleTo.frames - idleFrom.frames),
		idleCalls: perIdleSecond(idleTo.calls - idleFrom.calls),
		neighbours: rounded(neighbours / names.length),
		framesPerTask: rounded(loadedFrames / tasks),
		addedFramesPerTask: rounded((loadedFrames - ((idleTo.frames - idleFrom.frames) * idleShare)) / tasks),
		callsPerTask: rounded((loadedTo.calls - idleTo.calls) / tasks),
		refusedShare: rounded(loadedTo.refused / Math.max(1, loadedTo.sent)),
	};
}

function totalsOf({network, orders, journal}: PooledCluster) {
	return {
		frames: network.framesSent, calls: orders.orderCount, sent: journal.named('taskSent').length, refused: journal.named('runRefused').length,
	};
}

/** Returns how many tasks were submitted. */
async function load(world: PooledCluster, names: readonly string[], jobsPerSecond: number, milliseconds: number): Promise<number> {
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

function rounded(figure: number): number {
	return Math.round(figure * 100) / 100;
}
