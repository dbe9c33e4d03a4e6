/** What a fleet of entries sends and calls, counted in memory: the same figures in every run. */
import {PooledCluster} from '../test/support/pooled-cluster.js';
import {submitLoad} from './submit-load.js';

/** Long enough for all entries to have met and to own their targets. */
const settlingMilliseconds = 3000;
const idleMilliseconds = 2000;

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
	const tasks = await submitLoad(world, names, {jobsPerSecond, milliseconds});
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

function rounded(figure: number): number {
	return Math.round(figure * 100) / 100;
}
